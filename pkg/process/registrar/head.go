package registrar

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	headVersionsLimit = 4     // most versions that a head's difference spans
	headSizeLimit     = 2_048 // most bytes of that difference
)

// Head is the small value beside the stored catalogue that instances watch.
type Head struct {
	Digest gossip.Digest
	Update gossip.Update
}

// EncodeHead returns the encoded head for a catalogue. Its difference spans
// the last four, two or one versions, the most that fit the size limit, or is
// missing if none fits.
func EncodeHead(c catalogue.Catalogue) ([]byte, error) {
	w := &api.Head{Version: uint64(c.Version()), Digest: c.Digest()}
	for span := catalogue.Version(headVersionsLimit); span > 0; span /= 2 {
		base := c.Version() - min(span, c.Version())
		difference, ok := c.Since(base, c.DigestAt(base))
		if !ok {
			continue
		}
		data, err := api.EncodeUpdate(gossip.Update{Difference: &difference})
		if err != nil {
			return nil, err
		}
		if len(data) <= headSizeLimit {
			w.Update = data
			break
		}
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	return data, nil
}

// DecodeHead decodes what EncodeHead returned.
func DecodeHead(data []byte) (Head, error) {
	w := &api.Head{}
	if err := proto.Unmarshal(data, w); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	u, err := api.DecodeUpdate(w.GetUpdate())
	return Head{
		Digest: gossip.Digest{Version: catalogue.Version(w.GetVersion()), History: w.GetDigest()},
		Update: u,
	}, err
}
