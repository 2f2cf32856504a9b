package entry

import (
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// tell logs what a newer directory changes.
func (s *state) tell(before, after directory.Directory, from string) {
	if after.Version() != before.Version() {
		s.log.InfoContext(logs.Always(), "Configuration: in force.", "Version", after.Version(), "Before", before.Version(), "Routes", after.Routes(), "From", from)
	}
	if names := after.EvacuatedNames(); !slices.Equal(names, before.EvacuatedNames()) {
		s.log.Info("Directory: data centres taken out.", "Out", names, "From", from)
	}
	if before.Version() == 0 {
		s.log.Info("Directory: read.", "Servers", len(after.Servers()), "Instances", len(after.Instances()), "From", from)
		return
	}
	after.Differences(before, func(was, is *directory.Server) {
		switch {
		case is == nil:
			s.log.Info("Server: its entry is gone.", "Server", was.ID, "Draining", was.Draining, "Revision", was.Revision, "From", from)
		case was == nil:
			s.tellServer(directory.Server{}, *is, from)
		default:
			s.tellServer(*was, *is, from)
		}
	})
}

func (s *state) tellServer(before, after directory.Server, from string) {
	s.log.Info("Server: described.", "Server", after.ID, "Service", after.Service, "DataCentre", after.DataCentre,
		"Draining", after.Draining, "ColdLeft", after.ColdLeft, "Restarted", before.ID != "" && before.Born != after.Born,
		"Revision", after.Revision, "From", from)
}
