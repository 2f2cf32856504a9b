package entry

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// Message is one message from an instance to another, sent as a datagram.
type Message struct {
	Hello membership.Hello
	Loads []forwarding.Load
	// Batch holds changes from the sender's replica of the store's keys; nil
	// means none.
	Batch *replica.Batch
	// Asked are the backend servers that the sender asks about, and Answer says that
	// Loads answers such an inquiry.
	Asked  []mark.Mark
	Answer bool
	// Pressures are the services that are short of capacity.
	Pressures []admission.Pressure
	// CentreLoads are the loads of services in the sender's data centre.
	CentreLoads []forwarding.CentreLoad
}

// hundredths is the number of wire units in one running request.
const hundredths = 100

// Encode returns the datagram for a message. Only IPv4 addresses can be
// encoded.
func Encode(m Message) ([]byte, error) {
	w := &Hello{
		From: &Member{
			Name: m.Hello.From.Name, DataCentre: m.Hello.From.DataCentre,
			Address: addressToWire(m.Hello.From.Endpoint), Port: uint32(m.Hello.From.Endpoint.Port()),
		},
		Revision: m.Hello.Revision, ConfirmedAgeMilliseconds: ageToWire(m.Hello.ConfirmedAge),
		Following: m.Hello.Following, Leaving: m.Hello.Leaving,
		Era: m.Hello.Era, EarlyRevision: m.Hello.EarlyRevision,
	}
	followerToWire(m.Hello, w)
	w.Reader, w.Reading, w.Confirmation = m.Hello.Reading.Start, m.Hello.Reading.Number, m.Hello.Confirmation.Number
	if m.Hello.Confirmation.Start != m.Hello.Reading.Start {
		w.ConfirmedStart = m.Hello.Confirmation.Start
	}
	w.Answer = m.Answer
	for _, a := range m.Asked {
		w.Asked = append(w.Asked, uint32(a))
	}
	for _, l := range m.Loads {
		w.Loads = append(w.Loads, &Load{
			Mark: uint32(l.Mark), Open: uint32(l.Open), RunningHundredths: uint32(math.Round(l.Running * hundredths)),
			Failures: uint32(l.Failures), FailedAgeMilliseconds: toMilliseconds(l.FailedAge),
			Stuck: uint32(l.Stuck), AliveAgeMilliseconds: ageToWire(l.AliveAge),
			ColdLeftMilliseconds: toMilliseconds(l.ColdLeft),
			AnsweredHundredths:   toHundredths(l.Evidence.Answered), FailedHundredths: toHundredths(l.Evidence.Failed),
			AnswerMilliseconds: toMilliseconds(l.Evidence.AnswerTime), EjectedLeftMilliseconds: toMilliseconds(l.EjectedLeft),
		})
	}
	w.Pressures = pressuresToWire(m.Pressures)
	for _, l := range m.CentreLoads {
		w.CentreLoads = append(w.CentreLoads, &CentreLoad{Service: l.Service, LoadHundredths: toUnits(l.Load, hundredths)})
	}
	if m.Batch != nil {
		w.Batch = batchToWire(*m.Batch)
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "marshal hello")
	}
	return data, nil
}

// Decode reads a datagram. It fails if the sender has no name, or its port or a
// revision is out of range.
func Decode(datagram []byte) (Message, error) {
	var w Hello
	if err := proto.Unmarshal(datagram, &w); err != nil {
		return Message{}, errors.Wrap(err, "unmarshal hello")
	}
	from := w.GetFrom()
	if from.GetName() == "" || from.GetPort() == 0 || from.GetPort() > math.MaxUint16 {
		return Message{}, errors.Errorf("hello from member %q has port %d", from.GetName(), from.GetPort())
	}
	m := Message{Hello: membership.Hello{
		From: membership.Member{
			Name: from.GetName(), DataCentre: from.GetDataCentre(), Endpoint: endpointFromWire(from.GetAddress(), from.GetPort()),
		},
		Revision: w.GetRevision(), ConfirmedAge: ageFromWire(w.GetConfirmedAgeMilliseconds()),
		Following: w.GetFollowing(), Leaving: w.GetLeaving(),
		Era: w.GetEra(), EarlyRevision: w.GetEarlyRevision(),
	}}
	m.Hello.Follower, m.Hello.FollowerAge = followerFromWire(&w)
	m.Hello.Reading = membership.Source{Start: w.GetReader(), Number: w.GetReading()}
	if w.GetConfirmation() > 0 {
		m.Hello.Confirmation = membership.Source{Start: cmp.Or(w.GetConfirmedStart(), w.GetReader()), Number: w.GetConfirmation()}
	}
	m.Answer = w.GetAnswer()
	for _, a := range w.GetAsked() {
		m.Asked = append(m.Asked, mark.Mark(a))
	}
	for _, l := range w.GetLoads() {
		m.Loads = append(m.Loads, forwarding.Load{
			Mark: mark.Mark(l.GetMark()), Open: int(l.GetOpen()), Running: float64(l.GetRunningHundredths()) / hundredths,
			Failures: int(l.GetFailures()), FailedAge: fromMilliseconds(l.GetFailedAgeMilliseconds()),
			Stuck: int(l.GetStuck()), AliveAge: ageFromWire(l.GetAliveAgeMilliseconds()),
			ColdLeft: fromMilliseconds(l.GetColdLeftMilliseconds()),
			Evidence: evidenceFromWire(l), EjectedLeft: fromMilliseconds(l.GetEjectedLeftMilliseconds()),
		})
	}
	if err := checkRevisions(m.Hello.Revision, m.Hello.EarlyRevision); err != nil {
		return Message{}, err
	}
	m.Pressures = pressuresFromWire(w.GetPressures())
	for _, l := range w.GetCentreLoads() {
		m.CentreLoads = append(m.CentreLoads, forwarding.CentreLoad{Service: l.GetService(), Load: float64(l.GetLoadHundredths()) / hundredths})
	}
	if w.GetBatch() != nil {
		batch := batchFromWire(w.GetBatch())
		if err := checkBatch(batch); err != nil {
			return Message{}, err
		}
		m.Batch = &batch
	}
	return m, nil
}

// followerToWire sets what a hello says of the follower.
func followerToWire(h membership.Hello, w *Hello) {
	progress := h.ConfirmedAge
	if h.Follower != "" || h.Following {
		w.ReadAgeMilliseconds = proto.Uint32(ageToWire(h.FollowerAge))
		progress = clock.Newest(progress, h.FollowerAge)
	}
	if progress != h.ConfirmedAge {
		w.ProgressAgeMilliseconds = proto.Uint32(ageToWire(progress))
	}
	if h.Follower != "" && h.Follower != h.From.Name {
		w.Follower, w.FollowerAgeMilliseconds = h.Follower, ageToWire(h.FollowerAge)
	}
}

// followerFromWire returns the name of the follower that a hello tells of, and how long ago
// that received something from the store.
func followerFromWire(w *Hello) (string, clock.Age) {
	if w.ReadAgeMilliseconds != nil {
		return cmp.Or(w.GetFollower(), w.GetFrom().GetName()), ageFromWire(w.GetReadAgeMilliseconds())
	}
	switch {
	case w.GetFollowing() && w.ProgressAgeMilliseconds != nil:
		return w.GetFrom().GetName(), ageFromWire(w.GetProgressAgeMilliseconds())
	case w.GetFollowing():
		return w.GetFrom().GetName(), ageFromWire(w.GetConfirmedAgeMilliseconds())
	case w.GetFollower() != "":
		return w.GetFollower(), ageFromWire(w.GetFollowerAgeMilliseconds())
	}
	return "", clock.Age{}
}

// evidenceFromWire returns what a load says of the backend server's health, with no more
// failures than answers.
func evidenceFromWire(l *Load) capacity.Evidence {
	answered := float64(l.GetAnsweredHundredths()) / hundredths
	return capacity.Evidence{
		Answered: answered, Failed: min(float64(l.GetFailedHundredths())/hundredths, answered),
		AnswerTime: fromMilliseconds(l.GetAnswerMilliseconds()),
	}
}

// toHundredths returns a sum in hundredths, limited to the range from 0 to math.MaxInt32.
func toHundredths(sum float64) uint32 {
	return uint32(min(max(math.Round(sum*hundredths), 0), math.MaxInt32))
}

// EncodeBatch returns a batch encoded as the body of the answer to a fetch by
// another instance.
func EncodeBatch(b replica.Batch) ([]byte, error) {
	data, err := proto.Marshal(batchToWire(b))
	if err != nil {
		return nil, errors.Wrap(err, "marshal batch")
	}
	return data, nil
}

// DecodeBatch decodes what EncodeBatch returned.
func DecodeBatch(data []byte) (replica.Batch, error) {
	var m Batch
	if err := proto.Unmarshal(data, &m); err != nil {
		return replica.Batch{}, errors.Wrap(err, "unmarshal batch")
	}
	b := batchFromWire(&m)
	if err := checkBatch(b); err != nil {
		return replica.Batch{}, err
	}
	return b, nil
}

func batchToWire(b replica.Batch) *Batch {
	m := &Batch{After: b.After, Revision: b.Revision, Whole: b.Whole, Era: b.Era}
	for _, c := range b.Changes {
		m.Changes = append(m.Changes, &Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return m
}

func batchFromWire(m *Batch) replica.Batch {
	b := replica.Batch{After: m.GetAfter(), Revision: m.GetRevision(), Whole: m.GetWhole(), Era: m.GetEra()}
	for _, c := range m.GetChanges() {
		b.Changes = append(b.Changes, replica.Change{
			Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Deleted: c.GetDeleted(),
		})
	}
	return b
}

// toMilliseconds returns a duration in whole milliseconds, limited to the
// range from 0 to math.MaxInt32.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxInt32))
}

func fromMilliseconds(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

// neverMilliseconds is the age of what never was. Earlier versions take it for 24 days, which
// is longer than any of their limits.
const neverMilliseconds = math.MaxInt32

func ageToWire(a clock.Age) uint32 { return toMilliseconds(a.Or(neverMilliseconds * time.Millisecond)) }

func ageFromWire(milliseconds uint32) clock.Age {
	if milliseconds >= neverMilliseconds {
		return clock.Age{}
	}
	return clock.Ago(fromMilliseconds(milliseconds))
}

// addressToWire returns an IPv4 address as a number, and 0 for any other.
func addressToWire(endpoint netip.AddrPort) uint32 {
	if !endpoint.Addr().Is4() {
		return 0
	}
	octets := endpoint.Addr().As4()
	return binary.BigEndian.Uint32(octets[:])
}

func endpointFromWire(address, port uint32) netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], address)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(port))
}
