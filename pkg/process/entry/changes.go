package entry

import (
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// logChanges logs the differences between two directories. From names the instance
// that sent the changes, or the store.
func (s *state) logChanges(before, after directory.Directory, from string) {
	if after.Version() != before.Version() {
		s.log.InfoContext(logs.Always(), "Configuration: in force.", "Version", after.Version(), "Before", before.Version(), "Routes", after.Routes(), "From", from)
	}
	if names := after.EvacuatedNames(); !slices.Equal(names, before.EvacuatedNames()) {
		s.log.Info("Directory: the data centres taken out have changed.", "Out", names, "From", from)
	}
	if before.Version() == 0 {
		s.log.Info("Directory: read.", "Servers", len(after.Servers()), "Instances", len(after.Instances()), "From", from)
		return
	}
	after.Differences(before, func(old, current *directory.Server) {
		switch {
		case current == nil:
			s.log.Info("Server: its entry is gone.", "Server", old.ID, "Draining", old.Draining, "Revision", old.Revision, "From", from)
		case old == nil:
			s.logServer(directory.Server{}, *current, from)
		default:
			s.logServer(*old, *current, from)
		}
	})
}

func (s *state) logServer(before, after directory.Server, from string) {
	s.log.Info("Server: described.", "Server", after.ID, "Service", after.Service, "DataCentre", after.DataCentre,
		"Draining", after.Draining, "ColdLeft", after.ColdLeft, "Restarted", before.ID != "" && before.StartedMillis != after.StartedMillis,
		"Revision", after.Revision, "From", from)
}
