package demo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
)

// TestDemonstrationServesEveryFlowAndRequest runs the demonstration, which
// fails if a flow breaks or a request is not answered, and checks that it ends
// with the report of all instances.
func TestDemonstrationServesEveryFlowAndRequest(t *testing.T) {
	var out bytes.Buffer
	if err := demo.Run(context.Background(), &out, demo.Options{For: time.Millisecond, Seed: 1}); err != nil {
		t.Fatalf("the demonstration failed: %v\n%s", err, out.String())
	}
	for _, wanted := range []string{"none was broken", "CLASS", "missing: none"} {
		if !strings.Contains(out.String(), wanted) {
			t.Errorf("the output of the demonstration lacks %q:\n%s", wanted, out.String())
		}
	}
}
