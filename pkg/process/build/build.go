// Package build tells which build of the program runs, so that logs and metrics show who runs
// what while old and new builds serve side by side.
//
// # Usage
//
//	b := build.Read()
//	logger.Info("Instance: started.", "Build", b.String())
package build

import "runtime/debug"

// unknown stands for a revision that the program wasn't built with, as outside a repository.
const unknown = "unknown"

// revisionLength is the number of characters of a revision that String shows.
const revisionLength = 12

// Build is one build of the program.
type Build struct {
	// Revision is the hash of the commit, "unknown" if it wasn't recorded.
	Revision string
	// Modified says that the sources differed from the commit.
	Modified bool
}

// Read returns the build that runs.
func Read() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Revision: unknown}
	}
	return Of(info.Settings)
}

// Of returns the build with the settings that the toolchain recorded.
func Of(settings []debug.BuildSetting) Build {
	b := Build{Revision: unknown}
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

// String returns the start of the revision, with a mark if the sources differed from it.
func (b Build) String() string {
	text := b.Revision[:min(len(b.Revision), revisionLength)]
	if b.Modified {
		text += "+modified"
	}
	return text
}
