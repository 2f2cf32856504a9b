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
	if said := unanswered(own, last, all); said != "" {
		return said
	}
	if tries := count(own, "Flow: placed."); tries > 1 {
		return fmt.Sprintf("the opening packet was sent to %d backend servers in turn, %s last; the earlier ones didn't answer in time", tries, last.Fields["Server"])
	}
	if l := own[len(own)-1]; l.Message == "Request: answered." {
		return fmt.Sprintf("backend server %s answered after %s; what it answered isn't seen here", l.Fields["Server"], l.Fields["Waited"])
	}
	return fmt.Sprintf("forwarded to backend server %s; nothing in these logs says that it failed there", last.Fields["Server"])
}

// laterWithin is how long after the flow's last packet what is told of its server may
// explain its silence: an entry lapses after three heartbeats of some 1.2 s.
const laterWithin = 5 * time.Second

// unanswered says that a request was sent again and again and never answered, and what
// was told of the backend server meanwhile.
func unanswered(own []Line, last Line, all []Line) string {
	const forwarded = "Request: forwarded."
	times := count(own, forwarded)
	if times < 2 || own[len(own)-1].Message == "Request: answered." {
		return ""
	}
	var first Line
	for _, l := range own {
		if l.Message == forwarded {
			first = l
			break
		}
	}
	server := last.Fields["Server"]
	said := fmt.Sprintf("backend server %s never answered: its caller sent the request %d times in %v", server, times, last.At.Sub(first.At).Round(time.Millisecond))
	for _, l := range all {
		if l.Fields["Server"] == server && l.Message == "Server: its entry is gone." && l.At.After(first.At) && l.At.Before(last.At.Add(laterWithin)) {
			return said + fmt.Sprintf(", and its entry went %v after the first", l.At.Sub(first.At).Round(time.Millisecond))
		}
	}
	return said
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

func count(own []Line, message string) int {
	n := 0
	for _, l := range own {
		if l.Message == message {
			n++
		}
	}
	return n
}
