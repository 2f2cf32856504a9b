package day

import "slices"

// Kinds of faults. [DescribeKinds] describes each.
const (
	ServersCrash          = "ServersCrash"
	ServersReplaced       = "ServersReplaced"
	AddressesReused       = "AddressesReused"
	ServersLeave          = "ServersLeave"
	ServersAdded          = "ServersAdded"
	ServersGrey           = "ServersGrey"
	ServersSlow           = "ServersSlow"
	ServersFlap           = "ServersFlap"
	DataCentreBackCold    = "DataCentreBackCold"
	InstancesKilled       = "InstancesKilled"
	InstancesRestarted    = "InstancesRestarted"
	InstancesFrozen       = "InstancesFrozen"
	InstancesSlow         = "InstancesSlow"
	InstancesAdded        = "InstancesAdded"
	InstancesCut          = "InstancesCut"
	InstancesReload       = "InstancesReload"
	ConnectionsSilent     = "ConnectionsSilent"
	DataCentreCut         = "DataCentreCut"
	DataCentreWithoutPath = "DataCentreWithoutPath"
	DataCentreDark        = "DataCentreDark"
	LinksLossy            = "LinksLossy"
	StoreDown             = "StoreDown"
	StoreCut              = "StoreCut"
	StoreRefuses          = "StoreRefuses"
	StoreSlow             = "StoreSlow"
	StoreLosesAnswers     = "StoreLosesAnswers"
	StoreForgets          = "StoreForgets"
	StoreRestored         = "StoreRestored"
	ConfigurationChanges  = "ConfigurationChanges"
	ConfigurationStorm    = "ConfigurationStorm"
	ConfigurationGrows    = "ConfigurationGrows"
	DataCentreOut         = "DataCentreOut"
	CallersBurst          = "CallersBurst"
	CallersMove           = "CallersMove"
)

// KindDescription describes a kind of fault in a sentence for users.
type KindDescription struct{ Kind, Text string }

// DescribeKinds returns the descriptions of all kinds, with the variants that Fault.How
// takes and their effects.
func DescribeKinds() []KindDescription {
	return []KindDescription{
		{ServersCrash, "Share of the backend servers lose all they hold and start again after For; Dark: nothing answers meanwhile; Lost: they never return."},
		{ServersReplaced, "Share of a service's backend servers are replaced one after the other, each Gap: a new one starts, the old one drains and leaves."},
		{AddressesReused, "Share of the backend servers end, and servers of another service take their addresses; Drain: they drain first; Dark: they fall silent."},
		{ServersLeave, "Share of the backend servers drain and leave."},
		{ServersAdded, "Share more backend servers start, one each Gap."},
		{ServersGrey, "Share of the backend servers fail Factor of their requests; Mute: they don't answer them; Shed: they refuse them at once; Hang: they answer no packet."},
		{ServersSlow, "Share of the backend servers take Factor times as long."},
		{ServersFlap, "Share of the backend servers go down and up, each Gap; Dark: nothing answers while they are down."},
		{DataCentreBackCold, "All backend servers of a data centre are down for For and return together, cold; Dark: nothing answers meanwhile."},
		{InstancesKilled, "Share or Count of the instances are killed and start again after For, whether by a signal or for want of Power; Follower: first the one that reads the store."},
		{InstancesRestarted, "Share of the instances stop as planned and start again, one each Gap; Remove: they don't return."},
		{InstancesFrozen, "Share of the instances stand still."},
		{InstancesSlow, "Share of the instances take Factor times as long for a packet."},
		{InstancesAdded, "Share of the spare instances are added."},
		{InstancesCut, "Share or Count of the instances reach no other instance and not the store; All: no backend server either; OneWay: only what they send is lost; Follower: first the one that reads the store."},
		{InstancesReload, "Share of the instances read their settings again, one each Gap."},
		{ConnectionsSilent, "Open connections of Share of the instances to the store never answer again."},
		{DataCentreCut, "A data centre reaches no other one and not the store."},
		{DataCentreWithoutPath, "Two data centres don't reach each other, a third reaches both."},
		{DataCentreDark, "A data centre's instances and backend servers lose power and start again after For."},
		{LinksLossy, "Factor of the datagrams between instances and backend servers are lost."},
		{StoreDown, "The store answers nobody; Busy: with status 503; Lapse: entries of backend servers run out meanwhile."},
		{StoreCut, "Share or Count of the instances don't reach the store; OneWay: its answers are lost; Follower: first the one that reads it."},
		{StoreRefuses, "The store refuses Share of the instances with 503; Many: with 429; Silent: by not answering; Revoke: leases end."},
		{StoreSlow, "The store's answers take Factor times as long."},
		{StoreLosesAnswers, "Factor of the calls that write are carried out and not answered; Late: carried out 1 to 6 s later."},
		{StoreForgets, "The store drops its history and cuts watches, again each Gap."},
		{StoreRestored, "The store returns restored from a copy that is For old, and writers write again what was lost; Down: it answered nobody for Gap before; Twice: it is restored from the same copy again after Gap."},
		{ConfigurationChanges, "A configuration follows; Route: a route without callers is added and another removed; else a timeout changes."},
		{ConfigurationStorm, "Configurations follow for For, one each Gap."},
		{ConfigurationGrows, "Count routes are added."},
		{DataCentreOut, "Operators take a data centre out for For; its backend servers are cold afterwards; Warm: they aren't."},
		{CallersBurst, "Callers ask Factor times as much."},
		{CallersMove, "Share of a data centre's callers move to another one."},
	}
}

// Kinds returns the names of all kinds, sorted.
func Kinds() []string {
	var names []string
	for _, m := range DescribeKinds() {
		names = append(names, m.Kind)
	}
	slices.Sort(names)
	return names
}
