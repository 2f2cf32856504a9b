package instance_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/instance"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/standin/platform"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// safeLog collects log output. It is safe for use from several goroutines.
type safeLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *safeLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *safeLog) contains(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

// mutualInstance is an instance in Mutual mode, with the certificate authority that
// it trusts and its log.
type mutualInstance struct {
	node      *instance.Instance
	authority *certificate.Authority
	log       *safeLog
}

func newMutualInstance(t *testing.T) mutualInstance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	platform.Register(server, platform.New(time.Now))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	authority, err := certificate.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	i := mutualInstance{authority: authority, log: &safeLog{}}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	node, closeNode, err := instance.New(settings.Settings{
		Name: "entry-1", DataCentre: "dakar-1", Region: "dakar",
		Packets: loopback, Passed: loopback, Requests: loopback, Admin: loopback, Peer: loopback, Metrics: loopback,
		Platform: listener.Addr().(*net.TCPAddr).AddrPort(), Pool: netip.MustParsePrefix("192.0.2.0/24"),
		Security: settings.Mutual, Grace: time.Second,
	}, instance.Options{
		Logger:       slog.New(slog.NewTextHandler(i.log, nil)),
		Certificates: i.source(t, authority, "entry-1", certificate.Instance),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeNode)
	i.node = node
	return i
}

func (i mutualInstance) source(t *testing.T, a *certificate.Authority, name string, r certificate.Role) *certificate.Source {
	t.Helper()
	m, err := a.Issue(certificate.Identity{Name: name, Role: r})
	if err != nil {
		t.Fatal(err)
	}
	s, err := certificate.FromMaterial(m, certificate.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (i mutualInstance) admin(caller certificate.Caller) apiconnect.AdminClient {
	return apiconnect.NewAdminClient(caller, caller.URL(i.node.Settings().Admin.String()))
}

func apply(client apiconnect.AdminClient) (*api.Catalogue, error) {
	put := &api.DataCentre{Name: "dakar-1", State: api.DataCentreState_DATA_CENTRE_STATE_IN}
	response, err := client.Apply(context.Background(), connect.NewRequest(&api.ApplyRequest{
		Identifier: "security-1", Author: "somebody else",
		Changes: []*api.Change{{Edit: &api.Change_PutDataCentre{PutDataCentre: put}}},
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetCatalogue(), nil
}

func TestAdminPortGivesEachRoleItsOwnCalls(t *testing.T) {
	i := newMutualInstance(t)
	foreign, err := certificate.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	callers := map[string]certificate.Caller{
		"Operator": i.source(t, i.authority, "awa", certificate.Operator).Caller(),
		"Reader":   i.source(t, i.authority, "binta", certificate.Reader).Caller(),
		"Instance": i.source(t, i.authority, "entry-2", certificate.Instance).Caller(),
		"Foreign":  i.source(t, foreign, "awa", certificate.Operator).Caller(),
		"Plain":    certificate.PlainCaller(),
	}
	reads, writes := map[string]bool{}, map[string]bool{}
	for name, caller := range callers {
		_, err := i.admin(caller).Read(context.Background(), connect.NewRequest(&api.ReadRequest{}))
		reads[name] = err == nil
		_, err = apply(i.admin(caller))
		writes[name] = err == nil
	}
	wantReads := map[string]bool{"Operator": true, "Reader": true, "Instance": false, "Foreign": false, "Plain": false}
	wantWrites := map[string]bool{"Operator": true, "Reader": false, "Instance": false, "Foreign": false, "Plain": false}
	if diff := cmp.Diff(wantReads, reads); diff != "" {
		t.Errorf("who may read (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(wantWrites, writes); diff != "" {
		t.Errorf("who may write (-want +got):\n%s", diff)
	}
	if !i.log.contains("Certificate: a call was refused.") {
		t.Error("no refused call was logged")
	}
}

func TestAuthorOfAChangeIsTheCertificatesName(t *testing.T) {
	i := newMutualInstance(t)
	c, err := apply(i.admin(i.source(t, i.authority, "awa", certificate.Operator).Caller()))
	if err != nil {
		t.Fatal(err)
	}
	if got := c.GetHistory()[0].GetAuthor(); got != "awa" {
		t.Errorf("author %q, want awa", got)
	}
}

func TestPeerPortTakesInstancesOnly(t *testing.T) {
	i := newMutualInstance(t)
	got := map[certificate.Role]codes.Code{}
	for _, r := range []certificate.Role{certificate.Instance, certificate.Operator, certificate.Reader} {
		connection, err := grpc.NewClient("passthrough:///"+i.node.Settings().Peer.String(),
			grpc.WithTransportCredentials(credentials.NewTLS(i.source(t, i.authority, "entry-2", r).Client())))
		if err != nil {
			t.Fatal(err)
		}
		_, err = api.NewPeerClient(connection).Exchange(context.Background(), &api.ExchangeRequest{})
		got[r] = status.Code(err)
		if err := connection.Close(); err != nil {
			t.Fatal(err)
		}
	}
	want := map[certificate.Role]codes.Code{
		certificate.Instance: codes.OK,
		certificate.Operator: codes.PermissionDenied,
		certificate.Reader:   codes.PermissionDenied,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("peer port (-want +got):\n%s", diff)
	}
	if !i.log.contains("Certificate: a call was refused.") {
		t.Error("no refused call was logged")
	}
}
