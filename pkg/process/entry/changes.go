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
	known := make(map[string]directory.Server, len(before.Servers()))
	for _, v := range before.Servers() {
		known[v.ID] = v
	}
	for _, v := range after.Servers() {
		s.tellServer(known[v.ID], v, from)
		delete(known, v.ID)
	}
	for _, v := range known {
		s.log.Info("Server: its entry is gone.", "Server", v.ID, "Draining", v.Draining, "Revision", v.Revision, "From", from)
	}
}

func (s *state) tellServer(before, after directory.Server, from string) {
	if after.Revision == before.Revision {
		return
	}
	s.log.Info("Server: described.", "Server", after.ID, "Service", after.Service, "DataCentre", after.DataCentre,
		"Draining", after.Draining, "ColdLeft", after.ColdLeft, "Restarted", before.ID != "" && before.Born != after.Born,
		"Revision", after.Revision, "From", from)
}
