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
	for _, v := range after.Servers() {
		if old, _ := before.Server(v.ID); old.Revision != v.Revision {
			s.tellServer(old, v, from)
		}
	}
	for _, v := range before.Servers() {
		if _, stays := after.Server(v.ID); !stays {
			s.log.Info("Server: its entry is gone.", "Server", v.ID, "Draining", v.Draining, "Revision", v.Revision, "From", from)
		}
	}
}

func (s *state) tellServer(before, after directory.Server, from string) {
	s.log.Info("Server: described.", "Server", after.ID, "Service", after.Service, "DataCentre", after.DataCentre,
		"Draining", after.Draining, "ColdLeft", after.ColdLeft, "Restarted", before.ID != "" && before.Born != after.Born,
		"Revision", after.Revision, "From", from)
}
