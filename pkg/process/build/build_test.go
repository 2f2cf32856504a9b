package build_test

import (
	"runtime/debug"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/build"
)

// Guards against two builds that logs show under the same name.
func TestBuildIsNamedByItsCommit(t *testing.T) {
	const revision = "6ca4a91e71aee297e58fc0ccdfb0cbb0b7f75705"
	got := map[string]string{
		"clean":    build.Of([]debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: "false"}}).String(),
		"modified": build.Of([]debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: "true"}}).String(),
		"none":     build.Of(nil).String(),
	}
	want := map[string]string{"clean": "6ca4a91e71ae", "modified": "6ca4a91e71ae+modified", "none": "unknown"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
