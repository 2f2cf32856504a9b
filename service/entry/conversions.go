package entry

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// Message is one message from an instance to another, sent as a datagram.
type Message struct {
	Hello membership.Hello
	Loads []forwarding.Load
	// Batch holds the changes to the sender's copy of the store; nil means
	// none.
	Batch *replica.Batch
}

// hundredths is the number of wire units in one running request.
const hundredths = 100

// Encode returns the datagram for a message. Only IPv4 addresses can be
// encoded.
func Encode(w Message) ([]byte, error) {
	m := &Hello{
		From: &Member{
			Name: w.Hello.From.Name, DataCentre: w.Hello.From.DataCentre,
			Address: addressToWire(w.Hello.From.Endpoint), Port: uint32(w.Hello.From.Endpoint.Port()),
		},
		Revision: w.Hello.Revision, ConfirmedAgeMilliseconds: toMilliseconds(w.Hello.ConfirmedAge),
		Following: w.Hello.Following, Leaving: w.Hello.Leaving,
		Follower: w.Hello.Follower, FollowerAgeMilliseconds: toMilliseconds(w.Hello.FollowerAge),
	}
	for _, l := range w.Loads {
		m.Loads = append(m.Loads, &Load{
			Mark: uint32(l.Mark), Open: uint32(l.Open), RunningHundredths: uint32(math.Round(l.Running * hundredths)),
			Failures: uint32(l.Failures), FailedAgeMilliseconds: toMilliseconds(l.FailedAge),
			Stuck: uint32(l.Stuck), AliveAgeMilliseconds: toMilliseconds(l.AliveAge),
		})
	}
	if w.Batch != nil {
		m.Batch = batchToWire(*w.Batch)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "marshal hello")
	}
	return data, nil
}

// Decode reads a datagram. It fails if the sender has no name or its port is
// out of range.
func Decode(datagram []byte) (Message, error) {
	var m Hello
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return Message{}, errors.Wrap(err, "unmarshal hello")
	}
	from := m.GetFrom()
	if from.GetName() == "" || from.GetPort() == 0 || from.GetPort() > math.MaxUint16 {
		return Message{}, errors.Errorf("hello from member %q has port %d", from.GetName(), from.GetPort())
	}
	w := Message{Hello: membership.Hello{
		From: membership.Member{
			Name: from.GetName(), DataCentre: from.GetDataCentre(), Endpoint: endpointFromWire(from.GetAddress(), from.GetPort()),
		},
		Revision: m.GetRevision(), ConfirmedAge: fromMilliseconds(m.GetConfirmedAgeMilliseconds()),
		Following: m.GetFollowing(), Leaving: m.GetLeaving(),
		Follower: m.GetFollower(), FollowerAge: fromMilliseconds(m.GetFollowerAgeMilliseconds()),
	}}
	for _, l := range m.GetLoads() {
		w.Loads = append(w.Loads, forwarding.Load{
			Mark: mark.Mark(l.GetMark()), Open: int(l.GetOpen()), Running: float64(l.GetRunningHundredths()) / hundredths,
			Failures: int(l.GetFailures()), FailedAge: fromMilliseconds(l.GetFailedAgeMilliseconds()),
			Stuck: int(l.GetStuck()), AliveAge: fromMilliseconds(l.GetAliveAgeMilliseconds()),
		})
	}
	if m.GetBatch() != nil {
		batch := batchFromWire(m.GetBatch())
		w.Batch = &batch
	}
	return w, nil
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
	return batchFromWire(&m), nil
}

func batchToWire(b replica.Batch) *Batch {
	m := &Batch{After: b.After, Revision: b.Revision, Whole: b.Whole}
	for _, c := range b.Changes {
		m.Changes = append(m.Changes, &Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return m
}

func batchFromWire(m *Batch) replica.Batch {
	b := replica.Batch{After: m.GetAfter(), Revision: m.GetRevision(), Whole: m.GetWhole()}
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
