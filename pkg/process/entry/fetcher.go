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
	// changesPath is where an instance serves its copy to others.
	changesPath = "/changes"
	// fetchDeadline bounds one fetch: a copy of 100 KB packs to 10 KB, which a
	// link of 10 Mbit/s carries to twenty instances in 0.2 s.
	fetchDeadline = time.Second
	// fetchBytes bounds what a fetch may bring, unpacked.
	fetchBytes = 16 << 20
)

// fetcher brings the copy up to that of another instance.
type fetcher struct {
	state *state
	log   *slog.Logger
	host  Host
	asked chan source
	// pass tells the data centre what came from another one.
	pass func()
}

// source is an instance with a newer copy.
type source struct {
	at netip.AddrPort
	// away says that it is in another data centre.
	away bool
}

func newFetcher(o Options, s *state, h Host) *fetcher {
	return &fetcher{state: s, log: o.Logger, host: h, asked: make(chan source, 1)}
}

// ask wants changes from an instance, unless some are being fetched already.
func (f *fetcher) ask(from source) {
	select {
	case f.asked <- from:
	default:
	}
}

// run fetches until the context ends.
func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-f.asked:
			f.bring(ctx, from)
		}
	}
}

func (f *fetcher) bring(ctx context.Context, from source) {
	ctx, cancel := f.host.Deadline(ctx, fetchDeadline)
	defer cancel()
	before := f.state.revision()
	b, err := f.host.Fetch(ctx, from.at, before)
	if err != nil {
		f.log.Info("Exchange: changes can't be fetched.", "From", from.at, "Error", err)
		return
	}
	if !f.state.take(b, from.at.String()) {
		f.log.Info("Exchange: fetched changes don't join on.", "From", from.at, "After", b.After, "Revision", f.state.revision())
		return
	}
	if from.away && f.state.revision() > before {
		f.pass()
	}
}

// copyServer serves the instance's copy to others.
type copyServer struct {
	state *state
	log   *slog.Logger
}

func newCopyServer(o Options, s *state) (*webServer, error) {
	listener, err := net.Listen("tcp4", o.Peers.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for instances' fetches")
	}
	c := copyServer{state: s, log: o.Logger}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+changesPath, c.serve)
	return newWebServer("Exchange", listener, mux, fetchDeadline, o.Logger), nil
}

func (c copyServer) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	body, err := wire.EncodeBatch(c.state.since(after))
	if err != nil {
		c.log.Error("Exchange: the copy can't be encoded.", "Error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if err := pack(w, body); err != nil {
		c.log.Info("Exchange: a fetch broke off.", "Error", err)
	}
}

// pack writes a body compressed. Stateless compression holds no memory between
// fetches.
func pack(w io.Writer, body []byte) error {
	packed, err := gzip.NewWriterLevel(w, gzip.StatelessCompression)
	if err != nil {
		return err
	}
	if _, err := packed.Write(body); err != nil {
		return err
	}
	return packed.Close()
}
