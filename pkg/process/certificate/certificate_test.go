package certificate_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newAuthority(t *testing.T) *certificate.Authority {
	t.Helper()
	a, err := certificate.NewAuthority(start, 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *certificate.Authority, name string, r certificate.Role) certificate.Material {
	t.Helper()
	m, err := a.Issue(certificate.Identity{Name: name, Role: r})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// fixed returns a source of the material.
func fixed(t *testing.T, m certificate.Material, c *clock) *certificate.Source {
	t.Helper()
	s, err := certificate.FromMaterial(m, certificate.Options{Now: c.read})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake runs one handshake in memory and returns the client's name as the
// server saw it.
func handshake(server, client *certificate.Source) (string, error) {
	clientEnd, serverEnd := net.Pipe()
	served := tls.Server(serverEnd, server.Server())
	failed := make(chan error, 1)
	go func() {
		err := served.Handshake()
		_ = served.Close()
		failed <- err
	}()
	caller := tls.Client(clientEnd, client.Client())
	err := caller.Handshake()
	if err == nil {
		// In TLS 1.3 the client learns only by reading that the server
		// refused it.
		if _, err = caller.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			err = nil
		}
	}
	_ = clientEnd.Close()
	if serverErr := <-failed; serverErr != nil {
		err = serverErr
	}
	if err != nil {
		return "", err
	}
	return served.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Each handshake but the first has an end that must not be trusted: a
// certificate of a foreign authority, an operator's where an instance's is
// required, or an expired one.
func TestHandshakeRefusesForeignExpiredAndImpersonating(t *testing.T) {
	c := &clock{now: start}
	home, foreign := newAuthority(t), newAuthority(t)
	server := fixed(t, issue(t, home, "entry-1", certificate.Instance), c)
	operator := fixed(t, issue(t, home, "awa", certificate.Operator), c)
	if name, err := handshake(server, operator); err != nil || name != "awa" {
		t.Fatalf("operator of the same authority: name %q, error %v", name, err)
	}
	foreignOperator := fixed(t, issue(t, foreign, "awa", certificate.Operator), c)
	if _, err := handshake(server, foreignOperator); err == nil {
		t.Error("the server accepted an operator that trusts and belongs to a foreign authority")
	}
	pretender := issue(t, foreign, "awa", certificate.Operator)
	pretender.Authority = issue(t, home, "awa", certificate.Operator).Authority
	if _, err := handshake(server, fixed(t, pretender, c)); err == nil {
		t.Error("the server accepted a client certificate of a foreign authority")
	}
	impostor := issue(t, foreign, "entry-1", certificate.Instance)
	impostor.Authority = pretender.Authority
	if _, err := handshake(fixed(t, impostor, c), operator); err == nil {
		t.Error("the client accepted an instance's certificate of a foreign authority")
	}
	if _, err := handshake(operator, operator); err == nil {
		t.Error("the client accepted an operator's certificate from a server")
	}
	c.now = start.Add(25 * time.Hour)
	if _, err := handshake(server, operator); err == nil {
		t.Error("the server accepted an expired certificate")
	}
}

// A key file is replaced while the instance runs, first by a broken one,
// which must not put the old certificate out of force.
func TestFilesReplacedTakeEffectWithoutRestart(t *testing.T) {
	c := &clock{now: start}
	home, next := newAuthority(t), newAuthority(t)
	directory := t.TempDir()
	files, err := issue(t, home, "entry-1", certificate.Instance).Write(directory)
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&lines, nil))
	server, err := certificate.Load(files, certificate.Options{Now: c.read, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	old := fixed(t, issue(t, home, "awa", certificate.Operator), c)
	renewed := fixed(t, issue(t, next, "awa", certificate.Operator), c)
	if err := os.WriteFile(files.Key, []byte("half a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(time.Minute)
	if _, err := handshake(server, old); err != nil {
		t.Errorf("the old certificate isn't in force beside a broken key file: %v", err)
	}
	if !strings.Contains(lines.String(), "Certificate: the new certificate files can't be used") {
		t.Errorf("the broken file was not logged: %s", lines.String())
	}
	if _, err := issue(t, next, "entry-1", certificate.Instance).Write(directory); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(time.Minute)
	if _, err := handshake(server, renewed); err != nil {
		t.Errorf("the replaced files are not in force: %v", err)
	}
	if _, err := handshake(server, old); err == nil {
		t.Error("the replaced authority is still trusted")
	}
}

func TestRolesAllowOnlyTheirOwnCalls(t *testing.T) {
	got := map[string]bool{}
	roles := []certificate.Role{certificate.Reader, certificate.Operator, certificate.Instance, ""}
	for _, held := range roles {
		for _, needed := range roles[:3] {
			got[string(held)+" for "+string(needed)] = certificate.Identity{Role: held}.May(needed)
		}
	}
	want := map[string]bool{
		"Reader for Reader": true, "Reader for Operator": false, "Reader for Instance": false,
		"Operator for Reader": true, "Operator for Operator": true, "Operator for Instance": false,
		"Instance for Reader": false, "Instance for Operator": false, "Instance for Instance": true,
		" for Reader": false, " for Operator": false, " for Instance": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("roles (-want +got):\n%s", diff)
	}
	if _, ok := certificate.IdentityFrom(context.Background()); ok {
		t.Error("a plain context carries an identity")
	}
}
