package entry

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/gzip"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
	"github.com/tanagerweir/tanagerweir/pkg/transfer"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

const (
	// changesPath is the HTTP path at which an instance serves its replica.
	changesPath = "/changes"
	// fetchSilence is how long a fetch may bring nothing, and how long its client may
	// take for a part of it.
	fetchSilence = time.Second
	// busyPause and busyJitter bound the pause until a refused fetch is repeated.
	busyPause, busyJitter = 100 * time.Millisecond, 100 * time.Millisecond
	// fetchPart is the number of bytes of a response that are written at a time.
	fetchPart = 16 << 10
	// maxFetchBytes bounds the decompressed body of one fetch.
	maxFetchBytes = 16 << 20
)

// fetcher fetches changes that the replica lacks from other instances.
type fetcher struct {
	state    *state
	log      *slog.Logger
	host     Host
	random   *rand.Rand
	requests chan source
	guard    *containment.Guard
	// relay announces changes from another data centre to the instances of this one.
	relay func()
}

// fetchStream distinguishes the fetcher's stream of random numbers from others of the
// same seed.
const fetchStream = 2

// source is an instance with a newer replica.
type source struct {
	endpoint        netip.AddrPort
	otherDataCentre bool
	position        position
}

func newFetcher(o Options, s *state, h Host) *fetcher {
	return &fetcher{
		state: s, log: o.Logger, host: h, random: rand.New(rand.NewPCG(o.Seed, fetchStream)), requests: make(chan source, 1),
	}
}

// request asks for a fetch from an instance; it does nothing while another request
// is waiting.
func (f *fetcher) request(from source) {
	select {
	case f.requests <- from:
	default:
	}
}

// run makes the requested fetches until the context ends.
func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-f.requests:
			f.step(ctx, from)
		}
	}
}

// step makes a fetch and contains its panics.
func (f *fetcher) step(ctx context.Context, from source) {
	defer f.guard.Contain()
	f.fetch(ctx, from)
}

// fetch makes a fetch, unless the replica has got the changes meanwhile. If the source
// is busy, it is asked again after a pause, or another one that is known by then.
func (f *fetcher) fetch(ctx context.Context, from source) {
	if f.state.position().covers(from.position) {
		return
	}
	if err := f.fetchNow(ctx, from); errors.Is(err, ErrBusy) {
		f.host.Pause(ctx, busyPause+time.Duration(f.random.Int64N(int64(busyJitter))))
		f.request(from)
	} else if err != nil {
		f.log.Info("Exchange: changes can't be fetched from another instance.", "From", from.endpoint, "Error", err)
	}
}

func (f *fetcher) fetchNow(ctx context.Context, from source) error {
	ctx, cancel := f.host.Transfer(ctx, transfer.Limit{First: fetchSilence, Silence: fetchSilence})
	defer cancel(nil)
	before := f.state.position()
	b, err := f.host.Fetch(ctx, from.endpoint, before.Position)
	if err != nil {
		return err
	}
	if !f.state.applyBatch(b, from.endpoint.String()) {
		own := f.state.position()
		return errors.Errorf("changes of era %d after revision %d don't fit the replica of era %d, revision %d", b.Era, b.After, own.Era, own.Revision)
	}
	if from.otherDataCentre && !before.covers(f.state.position()) {
		f.relay()
	}
	return nil
}

// ErrBusy says that an instance serves as many fetches as its link may carry now.
var ErrBusy = errors.New("entry: the instance serves other fetches")

// replicaServer serves the instance's replica to other instances.
type replicaServer struct {
	state *state
	log   *slog.Logger
	now   func() time.Duration
	link  *linkBudget
	// refused counts the fetches that were refused.
	refused atomic.Uint64

	mu sync.Mutex
	// cached is the response to a fetch of cachedBatch.
	cached      []byte
	cachedBatch batchRange
}

// batchRange identifies a batch of one instance's replica.
type batchRange struct {
	after replica.Position
	until position
}

func newReplicaServer(o Options, s *state, link *linkBudget, now func() time.Duration) *replicaServer {
	return &replicaServer{state: s, log: o.Logger, now: now, link: link}
}

// listen returns the HTTP server for the fetches of other instances.
func (s *replicaServer) listen(o Options, g *guards) (*webServer, error) {
	listener, err := net.Listen("tcp4", o.Peers.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for instances' fetches")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+changesPath, s.serve)
	return newWebServer("Exchange", listener, g.web.Handler(mux), webLimits{header: fetchSilence}, o.Logger), nil
}

func (s *replicaServer) serve(w http.ResponseWriter, r *http.Request) {
	after, err := parsePosition(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := s.admit(after)
	if errors.Is(err, ErrBusy) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		s.log.Error("Exchange: the replica can't be encoded for another instance.", "Error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if err := writeInParts(w, body); err != nil {
		s.log.Info("Exchange: the response to a fetch can't be sent.", "Error", err)
	}
}

// admit returns the response to a fetch, or ErrBusy if the link's share is used up.
func (s *replicaServer) admit(after replica.Position) ([]byte, error) {
	if !s.link.free(s.now()) {
		s.refused.Add(1)
		return nil, ErrBusy
	}
	body, err := s.encode(after)
	s.link.spend(s.now(), len(body))
	return body, err
}

// encode returns the compressed changes after a position. After a change many
// instances ask for the same ones.
func (s *replicaServer) encode(after replica.Position) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := batchRange{after: after, until: s.state.position()}
	if s.cached != nil && s.cachedBatch == asked {
		return s.cached, nil
	}
	body, err := wire.EncodeBatch(s.state.since(after))
	if err != nil {
		return nil, err
	}
	compressed, err := compress(body)
	if err != nil {
		return nil, err
	}
	s.cached, s.cachedBatch = compressed, asked
	return compressed, nil
}

// positionQuery returns the query of a fetch of the changes after a position. Era 0 is
// left out, as builds that know no eras do.
func positionQuery(after replica.Position) url.Values {
	query := url.Values{"after": {strconv.FormatUint(after.Revision, 10)}}
	if after.Era > 0 {
		query.Set("era", strconv.FormatUint(after.Era, 10))
	}
	return query
}

// parsePosition reads the query of a fetch.
func parsePosition(query url.Values) (replica.Position, error) {
	revision, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return replica.Position{}, errors.New("after must be a revision")
	}
	if !query.Has("era") {
		return replica.Position{Revision: revision}, nil
	}
	era, err := strconv.ParseUint(query.Get("era"), 10, 64)
	if err != nil {
		return replica.Position{}, errors.New("era must be a number")
	}
	return replica.Position{Era: era, Revision: revision}, nil
}

func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	// Stateless compression keeps no memory between fetches.
	compressor, err := gzip.NewWriterLevel(&b, gzip.StatelessCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress a batch")
	}
	if _, err := compressor.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress a batch")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a batch")
	}
	return b.Bytes(), nil
}

// writeInParts writes a body and gives up once a part takes longer than fetchSilence.
func writeInParts(w http.ResponseWriter, body []byte) error {
	controller := http.NewResponseController(w)
	for part := range slices.Chunk(body, fetchPart) {
		if err := controller.SetWriteDeadline(time.Now().Add(fetchSilence)); err != nil {
			return errors.Wrap(err, "set the deadline of a part")
		}
		if _, err := w.Write(part); err != nil {
			return errors.Wrap(err, "write a part")
		}
		if err := controller.Flush(); err != nil {
			return errors.Wrap(err, "send a part")
		}
	}
	return nil
}
