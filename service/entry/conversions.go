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

// Word is what one instance tells another in a datagram.
type Word struct {
	Hello membership.Hello
	Loads []forwarding.Load
	// Batch is what changed in the sender's copy of the store, nil for nothing.
	Batch *replica.Batch
}

// hundredths is the unit of running requests on the wire.
const hundredths = 100

// Encode returns the datagram that carries a word.
func Encode(w Word) ([]byte, error) {
	m := &Hello{
		From: &Member{
			Name: w.Hello.From.Name, DataCentre: w.Hello.From.DataCentre,
			Address: addressNumber(w.Hello.From.Endpoint), Port: uint32(w.Hello.From.Endpoint.Port()),
		},
		Revision: w.Hello.Revision, ConfirmedAgeMilliseconds: age(w.Hello.ConfirmedAge),
		Following: w.Hello.Following, Leaving: w.Hello.Leaving,
		Follower: w.Hello.Follower, FollowerAgeMilliseconds: age(w.Hello.FollowerAge),
	}
	for _, l := range w.Loads {
		m.Loads = append(m.Loads, &Load{
			Mark: uint32(l.Mark), Open: uint32(l.Open), RunningHundredths: uint32(math.Round(l.Running * hundredths)),
			Failures: uint32(l.Failures), FailedAgeMilliseconds: age(l.FailedAge),
			Stuck: uint32(l.Stuck), AliveAgeMilliseconds: age(l.AliveAge),
		})
	}
	if w.Batch != nil {
		m.Batch = batchMessage(*w.Batch)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "marshal hello")
	}
	return data, nil
}

// Decode reads a datagram.
func Decode(datagram []byte) (Word, error) {
	var m Hello
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return Word{}, errors.Wrap(err, "unmarshal hello")
	}
	from := m.GetFrom()
	if from.GetName() == "" || from.GetPort() == 0 || from.GetPort() > math.MaxUint16 {
		return Word{}, errors.Errorf("hello from member %q has port %d", from.GetName(), from.GetPort())
	}
	w := Word{Hello: membership.Hello{
		From: membership.Member{
			Name: from.GetName(), DataCentre: from.GetDataCentre(), Endpoint: endpoint(from.GetAddress(), from.GetPort()),
		},
		Revision: m.GetRevision(), ConfirmedAge: duration(m.GetConfirmedAgeMilliseconds()),
		Following: m.GetFollowing(), Leaving: m.GetLeaving(),
		Follower: m.GetFollower(), FollowerAge: duration(m.GetFollowerAgeMilliseconds()),
	}}
	for _, l := range m.GetLoads() {
		w.Loads = append(w.Loads, forwarding.Load{
			Mark: mark.Mark(l.GetMark()), Open: int(l.GetOpen()), Running: float64(l.GetRunningHundredths()) / hundredths,
			Failures: int(l.GetFailures()), FailedAge: duration(l.GetFailedAgeMilliseconds()),
			Stuck: int(l.GetStuck()), AliveAge: duration(l.GetAliveAgeMilliseconds()),
		})
	}
	if m.GetBatch() != nil {
		batch := batchOf(m.GetBatch())
		w.Batch = &batch
	}
	return w, nil
}

// EncodeBatch returns the body that carries a batch.
func EncodeBatch(b replica.Batch) ([]byte, error) {
	data, err := proto.Marshal(batchMessage(b))
	if err != nil {
		return nil, errors.Wrap(err, "marshal batch")
	}
	return data, nil
}

// DecodeBatch reads a body.
func DecodeBatch(data []byte) (replica.Batch, error) {
	var m Batch
	if err := proto.Unmarshal(data, &m); err != nil {
		return replica.Batch{}, errors.Wrap(err, "unmarshal batch")
	}
	return batchOf(&m), nil
}

func batchMessage(b replica.Batch) *Batch {
	m := &Batch{After: b.After, Revision: b.Revision, Whole: b.Whole}
	for _, c := range b.Changes {
		m.Changes = append(m.Changes, &Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return m
}

func batchOf(m *Batch) replica.Batch {
	b := replica.Batch{After: m.GetAfter(), Revision: m.GetRevision(), Whole: m.GetWhole()}
	for _, c := range m.GetChanges() {
		b.Changes = append(b.Changes, replica.Change{
			Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Deleted: c.GetDeleted(),
		})
	}
	return b
}

// age returns whole milliseconds, at most what the field holds.
func age(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxInt32))
}

func duration(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

func addressNumber(at netip.AddrPort) uint32 {
	if !at.Addr().Is4() {
		return 0
	}
	four := at.Addr().As4()
	return binary.BigEndian.Uint32(four[:])
}

func endpoint(address, port uint32) netip.AddrPort {
	var four [4]byte
	binary.BigEndian.PutUint32(four[:], address)
	return netip.AddrPortFrom(netip.AddrFrom4(four), uint16(port))
}
