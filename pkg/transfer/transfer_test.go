package transfer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/transfer"
)

func TestMeterEndsByLackOfProgress(t *testing.T) {
	m := transfer.NewMeter(0, transfer.Limit{First: 1300 * time.Millisecond, Silence: time.Second, MinBytes: 4096})
	var deadlines []time.Duration
	add := func() { deadlines = append(deadlines, m.Deadline()) }
	add()
	m.Begin(200 * time.Millisecond)
	add()
	m.Receive(500*time.Millisecond, 4096)
	add()
	m.Receive(800*time.Millisecond, 4000) // too little to count
	add()
	m.Receive(900*time.Millisecond, 96)
	add()
	want := []time.Duration{1300 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond}
	if diff := cmp.Diff(want, deadlines); diff != "" {
		t.Error(diff)
	}
}

func TestReaderReportsToAllTraces(t *testing.T) {
	var began []int64
	received := 0
	trace := transfer.Trace{Began: func(size int64) { began = append(began, size) }, Received: func(n int) { received += n }}
	ctx := transfer.WithTrace(transfer.WithTrace(t.Context(), trace), trace)
	body, err := io.ReadAll(transfer.Reader(ctx, 9, iotest.OneByteReader(strings.NewReader("nine byte"))))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("nine byte", string(body)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]int64{9, 9}, began); diff != "" || received != 18 {
		t.Errorf("%d bytes received, %s", received, diff)
	}
}

func TestReaderWithoutTrace(t *testing.T) {
	body, err := io.ReadAll(transfer.Reader(t.Context(), -1, strings.NewReader("body")))
	if err != nil || string(body) != "body" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestReaderEndsWithTheCauseOfItsContext(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	body := transfer.Reader(ctx, -1, strings.NewReader("body"))
	cancel(transfer.ErrStopped)
	if _, err := io.ReadAll(body); !errors.Is(err, transfer.ErrStopped) {
		t.Errorf("%v, want %v", err, transfer.ErrStopped)
	}
}
