package explanation

import (
	"fmt"
	"strings"
	"time"
)

// resetCauses explains the reasons of resets and drops.
var resetCauses = map[string]string{
	"NoRoute":        "no route has this address in version %[2]s, confirmed %[3]s before",
	"NoServer":       "no backend server of the route could take a new flow in version %[2]s",
	"ServerGone":     "backend server %[1]s ended while the flow was open",
	"ServerSilent":   "backend server %[1]s answered nobody, so its flows were given up",
	"UnknownMark":    "the packet named a backend server that the instance didn't know, with a copy confirmed %[3]s before",
	"Unsynchronised": "the instance had no configuration yet",
}

// instanceWithin is how long after the flow's last packet what happened to its
// instance can have harmed it: callers send again after 1.6 s at the latest.
const instanceWithin = 2500 * time.Millisecond

// cause says in one sentence what the lines point to, the surest sign first.
func cause(own, all []Line) string {
	if said := decided(own); said != "" {
		return said
	}
	last := own[len(own)-1]
	for i := len(own) - 1; i >= 0; i-- {
		if own[i].Fields["Server"] != "" {
			last = own[i]
			break
		}
	}
	if said := ofServer(last, all); said != "" {
		return said
	}
	if said := ofInstance(last, all); said != "" {
		return said
	}
	if tries := placements(own); tries > 1 {
		return fmt.Sprintf("the opening packet was sent to %d backend servers in turn, %s last; the earlier ones didn't answer in time", tries, last.Fields["Server"])
	}
	return fmt.Sprintf("forwarded to backend server %s; nothing in these logs says that it failed there", last.Fields["Server"])
}

// decided returns why an instance refused or gave the flow up.
func decided(own []Line) string {
	for i := len(own) - 1; i >= 0; i-- {
		l := own[i]
		text, known := resetCauses[l.Fields["Reason"]]
		if !known || l.Message != "Flow: reset." && l.Message != "Flow: dropped." {
			continue
		}
		said := fmt.Sprintf(text+"%[4]s", l.Fields["Server"], l.Fields["Version"], l.Fields["ConfirmedAge"], "")
		if l.Message == "Flow: dropped." {
			return "dropped: " + said
		}
		return "reset: " + said
	}
	return ""
}

// ofServer returns what the backend server went through after the flow's last line.
func ofServer(last Line, all []Line) string {
	server := last.Fields["Server"]
	for _, l := range all {
		if l.Fields["Server"] != server || l.At.Before(last.At.Add(-time.Second)) {
			continue
		}
		after := l.At.Sub(last.At).Round(time.Millisecond)
		switch {
		case l.Message == "Server: its entry is gone.":
			return fmt.Sprintf("backend server %s ended: its entry went %v from the flow's last packet seen here", server, after)
		case l.Message == "Server: described." && l.Fields["Restarted"] == "true":
			return fmt.Sprintf("backend server %s started again %v after the flow's last packet seen here", server, after)
		case strings.HasPrefix(l.Message, "Server: silent"), l.Message == "Server: suspected.":
			return fmt.Sprintf("backend server %s stopped answering: noticed %v after the flow's last packet seen here, with %s flows unanswered here and %s at other instances",
				server, after, l.Fields["Failures"], l.Fields["Others"])
		}
	}
	return ""
}

// ofInstance returns what the instance went through beside the flow.
func ofInstance(last Line, all []Line) string {
	for _, l := range all {
		if l.Instance != last.Instance || l.At.Before(last.At) || l.At.After(last.At.Add(instanceWithin)) {
			continue
		}
		after := l.At.Sub(last.At).Round(time.Millisecond)
		switch l.Message {
		case "Instance: started.":
			return fmt.Sprintf("instance %s ended and started again %v after the flow's last packet seen there", l.Instance, after)
		case "Follower: the store can't be read.", "Instance: cut off from the store and from instances that reach it.":
			return fmt.Sprintf("instance %s was cut off: it lost the store, noticed %v after the flow's last packet seen there", l.Instance, after)
		}
	}
	return ""
}

func placements(own []Line) int {
	n := 0
	for _, l := range own {
		if l.Message == "Flow: placed." {
			n++
		}
	}
	return n
}
