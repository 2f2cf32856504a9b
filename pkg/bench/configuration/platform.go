package configuration

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// platform is the simulated store: its revisions, the calls that it counts and
// its faults.
type platform struct {
	revision          int64
	compactedRevision int64 // watches can't resume at an older one
	stored            catalogue.Catalogue
	head              []byte // encoded
	fullBytes         int    // size of the encoded catalogue
	calls             int
	down              bool
	watchesSilent     bool // open watches deliver nothing
	extraDelay        time.Duration
	cutOff            map[string]bool // by data centre
}

// write stores a catalogue and its head at a new revision.
func (p *platform) write(c catalogue.Catalogue) error {
	head, err := registrar.EncodeHead(c)
	if err != nil {
		return err
	}
	full, err := api.EncodeCatalogue(c)
	if err != nil {
		return err
	}
	p.revision++
	p.stored, p.head, p.fullBytes = c, head, len(full)
	return nil
}

// answers reports whether a call from the data centre is answered within
// callTimeout.
func (p *platform) answers(dataCentre string) bool {
	return !p.down && !p.cutOff[dataCentre] && p.extraDelay < callTimeout
}
