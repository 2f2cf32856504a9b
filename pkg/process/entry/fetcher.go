package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/gzip"

	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

const (
	// changesPath is the HTTP path at which an instance serves its replica.
	changesPath = "/changes"
	// fetchDeadline bounds one fetch: a replica of 100 KB compresses to 10 KB, which
	// a link of 10 Mbit/s carries to twenty instances in 0.2 s.
	fetchDeadline = time.Second
	// maxFetchBytes bounds the decompressed body of one fetch.
	maxFetchBytes = 16 << 20
)

// fetcher fetches changes that the replica lacks from other instances.
type fetcher struct {
	state    *state
	log      *slog.Logger
	host     Host
	requests chan source
	// relay announces changes from another data centre to the instances of this one.
	relay func()
}

// source is an instance with a newer replica.
type source struct {
	endpoint        netip.AddrPort
	otherDataCentre bool
}

func newFetcher(o Options, s *state, h Host) *fetcher {
	return &fetcher{state: s, log: o.Logger, host: h, requests: make(chan source, 1)}
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
			f.fetch(ctx, from)
		}
	}
}

func (f *fetcher) fetch(ctx context.Context, from source) {
	ctx, cancel := f.host.Deadline(ctx, fetchDeadline)
	defer cancel()
	before := f.state.revision()
	b, err := f.host.Fetch(ctx, from.endpoint, before)
	if err != nil {
		f.log.Info("Exchange: changes can't be fetched from another instance.", "From", from.endpoint, "Error", err)
		return
	}
	if !f.state.applyBatch(b, from.endpoint.String()) {
		f.log.Info("Exchange: fetched changes don't begin at the replica's revision.", "From", from.endpoint, "After", b.After, "Revision", f.state.revision())
		return
	}
	if from.otherDataCentre && f.state.revision() > before {
		f.relay()
	}
}

// replicaServer serves the instance's replica to other instances.
type replicaServer struct {
	state *state
	log   *slog.Logger
}

func newReplicaServer(o Options, s *state) (*webServer, error) {
	listener, err := net.Listen("tcp4", o.Peers.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for instances' fetches")
	}
	server := replicaServer{state: s, log: o.Logger}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+changesPath, server.serve)
	return newWebServer("Exchange", listener, mux, fetchDeadline, o.Logger), nil
}

func (s replicaServer) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	body, err := wire.EncodeBatch(s.state.since(after))
	if err != nil {
		s.log.Error("Exchange: the replica can't be encoded for another instance.", "Error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if err := writeCompressed(w, body); err != nil {
		s.log.Info("Exchange: the response to a fetch can't be sent.", "Error", err)
	}
}

// writeCompressed writes a body with gzip. Stateless compression keeps no memory
// between fetches.
func writeCompressed(w io.Writer, body []byte) error {
	compressor, err := gzip.NewWriterLevel(w, gzip.StatelessCompression)
	if err != nil {
		return err
	}
	if _, err := compressor.Write(body); err != nil {
		return err
	}
	return compressor.Close()
}
