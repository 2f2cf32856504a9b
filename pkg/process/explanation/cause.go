package explanation

import (
	"fmt"
	"strings"
	"time"
)

// decisionCauses explains the reasons for which instances reset flows and drop
// packets. Format arguments: 1 the backend server, 2 the configuration's version, 3
// the time since the configuration was known to be the newest.
var decisionCauses = map[string]string{
	"NoRoute":        "no route has this address in version %[2]s, confirmed %[3]s before",
	"NoRoom":         "the service was short of capacity and more urgent requests or other callers went first",
	"NoServer":       "no backend server of the route could take a new flow in version %[2]s",
	"ServerGone":     "backend server %[1]s ended while the flow was open",
	"ServerSilent":   "backend server %[1]s answered nobody, so its flows were given up",
	"OutOfReach":     "no backend server of the data centre of %[1]s answered any instance here, so flows there were given up",
	"UnknownMark":    "the packet named a backend server that the instance didn't know, with a copy confirmed %[3]s before",
	"Unsynchronised": "the instance had no configuration yet",
}

// instanceFaultWindow is how long after the flow's last packet a fault of its
// instance can still have affected the flow: callers send again after 1.6 s at the
// latest.
const instanceFaultWindow = 2500 * time.Millisecond

// findCause returns one sentence about the most probable cause, and looks for the most
// reliable evidence first. Flow holds the lines of the flow, and lines also those
// about its instances and backend servers.
func findCause(flow, lines []Line) string {
	if cause := shortageCause(flow, lines); cause != "" {
		return cause
	}
	if cause := decisionCause(flow); cause != "" {
		return cause
	}
	last := flow[len(flow)-1]
	for i := len(flow) - 1; i >= 0; i-- {
		if flow[i].Fields["Server"] != "" {
			last = flow[i]
			break
		}
	}
	if cause := reachCause(last, lines); cause != "" {
		return cause
	}
	if cause := serverCause(last, lines); cause != "" {
		return cause
	}
	if cause := instanceCause(last, lines); cause != "" {
		return cause
	}
	if cause := healthCause(last, lines); cause != "" {
		return cause
	}
	if cause := unansweredCause(flow, last, lines); cause != "" {
		return cause
	}
	if tries := count(flow, "Flow: placed."); tries > 1 {
		return fmt.Sprintf("the opening packet was sent to %d backend servers in turn, %s last; the earlier ones didn't answer in time", tries, last.Fields["Server"])
	}
	if l := flow[len(flow)-1]; l.Message == "Request: answered." {
		return fmt.Sprintf("backend server %s answered after %s; what it answered isn't seen here", l.Fields["Server"], l.Fields["Waited"])
	}
	return fmt.Sprintf("forwarded to backend server %s; nothing in these logs says that it failed there", last.Fields["Server"])
}

// entryGoneWindow is how long after the flow's last packet the loss of its backend
// server's entry can still explain missing answers: an entry expires after three
// heartbeats of some 1.2 s.
const entryGoneWindow = 5 * time.Second

// unansweredCause explains a request that its caller sent several times without an
// answer, and mentions the loss of the backend server's entry meanwhile.
func unansweredCause(flow []Line, last Line, lines []Line) string {
	const forwarded = "Request: forwarded."
	times := count(flow, forwarded)
	if times < 2 || flow[len(flow)-1].Message == "Request: answered." {
		return ""
	}
	var first Line
	for _, l := range flow {
		if l.Message == forwarded {
			first = l
			break
		}
	}
	server := last.Fields["Server"]
	cause := fmt.Sprintf("backend server %s never answered: its caller sent the request %d times in %v", server, times, last.At.Sub(first.At).Round(time.Millisecond))
	for _, l := range lines {
		if l.Fields["Server"] == server && l.Message == "Server: its entry is gone." && l.At.After(first.At) && l.At.Before(last.At.Add(entryGoneWindow)) {
			return cause + fmt.Sprintf(", and its entry went %v after the first", l.At.Sub(first.At).Round(time.Millisecond))
		}
	}
	return cause
}

// decisionCause returns why an instance reset or dropped the flow, or "" if none did.
func decisionCause(flow []Line) string {
	for i := len(flow) - 1; i >= 0; i-- {
		l := flow[i]
		format, known := decisionCauses[l.Fields["Reason"]]
		if !known || l.Message != "Flow: reset." && l.Message != "Flow: dropped." {
			continue
		}
		cause := fmt.Sprintf(format+"%[4]s", l.Fields["Server"], l.Fields["Version"], l.Fields["ConfirmedAge"], "")
		if l.Message == "Flow: dropped." {
			return "dropped: " + cause
		}
		return "reset: " + cause
	}
	return ""
}

// shortageCause explains a flow that was refused while its service was short of capacity,
// by the numbers with which its instance began the shortage. It returns "" for other flows,
// and if the lines lack that begin.
func shortageCause(flow, lines []Line) string {
	last := flow[len(flow)-1]
	if last.Message != "Flow: reset." || last.Fields["Reason"] != "NoRoom" {
		return ""
	}
	var short Line
	for _, l := range lines {
		if l.Message == "Service: short of capacity." && l.Instance == last.Instance && l.Fields["Service"] == last.Fields["Service"] && !l.At.After(last.At) {
			short = l
		}
	}
	if short.Message == "" {
		return ""
	}
	return fmt.Sprintf("reset: service %s was short of capacity since %s: %s flows a second were asked for and %s answered, %s later than by idle servers with a limit of %s, and %s of the attempts failed; class %s was refused in part or whole",
		last.Fields["Service"], short.At.UTC().Format(timeFormat), short.Fields["Asked"], short.Fields["Answered"], short.Fields["Wait"], short.Fields["Limit"], short.Fields["Failed"], last.Fields["Class"])
}

// reachWindow is how long before the flow's last packet its data centre may have come
// within reach again and still explain a failure.
const reachWindow = 2 * time.Second

// reachCause returns that the data centre of the flow's backend server was out of reach
// of its instance, or "" if the lines don't show it.
func reachCause(last Line, lines []Line) string {
	var lost Line
	for _, l := range lines {
		if l.Instance != last.Instance || l.Fields["DataCentre"] != last.Fields["DataCentre"] {
			continue
		}
		switch l.Message {
		case "DataCentre: its servers are out of reach.":
			lost = l
		case "DataCentre: its servers are within reach again.":
			if l.At.Before(last.At.Add(-reachWindow)) {
				lost = Line{}
			}
		}
	}
	if lost.Message == "" {
		return ""
	}
	return fmt.Sprintf("the servers of data centre %s were out of reach of instance %s from %s on: %s flows in a row unanswered there, and no sign of it for %s",
		lost.Fields["DataCentre"], lost.Instance, lost.At.UTC().Format(timeFormat), lost.Fields["Failures"], lost.Fields["SilentFor"])
}

// relative says when something happened, from the flow's last packet on.
func relative(after time.Duration) string {
	if after < 0 {
		return fmt.Sprintf("%v before the flow's last packet seen here", -after)
	}
	return fmt.Sprintf("%v after the flow's last packet seen here", after)
}

// serverCause returns what happened to the backend server from 1 s before the flow's
// last line on, or "" if the lines show nothing.
func serverCause(last Line, lines []Line) string {
	server := last.Fields["Server"]
	for _, l := range lines {
		if l.Fields["Server"] != server || l.At.Before(last.At.Add(-time.Second)) {
			continue
		}
		after := l.At.Sub(last.At).Round(time.Millisecond)
		switch {
		case l.Message == "Server: its entry is gone.":
			return fmt.Sprintf("backend server %s ended: its entry went %s", server, relative(after))
		case l.Message == "Server: described." && l.Fields["Restarted"] == "true":
			return fmt.Sprintf("backend server %s started again %s", server, relative(after))
		case strings.HasPrefix(l.Message, "Server: silent"), l.Message == "Server: suspected.":
			return fmt.Sprintf("backend server %s stopped answering: noticed %s, with %s flows unanswered here and %s at other instances",
				server, relative(after), l.Fields["Failures"], l.Fields["Others"])
		}
	}
	return ""
}

// healthWindow is how long before or after the flow's last line the server's health may have
// changed and still explain a failure: it is known within a few seconds.
const healthWindow = 5 * time.Second

// healthCause returns that the flow's backend server was ejected or limited around the flow's
// last line, or "" if the lines don't show it. The last change before the flow counts, or
// else the first one after it.
func healthCause(last Line, lines []Line) string {
	var change Line
	for _, l := range lines {
		if l.Fields["Server"] != last.Fields["Server"] || !strings.HasPrefix(l.Message, "Server: ") || l.Fields["Reference"] == "" {
			continue
		}
		if l.At.After(last.At) && (change.Message != "" || l.At.After(last.At.Add(healthWindow))) {
			break
		}
		change = l
	}
	after := relative(change.At.Sub(last.At).Round(time.Millisecond))
	switch {
	case strings.HasPrefix(change.Message, "Server: ejected"), strings.HasPrefix(change.Message, "Server: probed"):
		return fmt.Sprintf("backend server %s failed more requests than others: ejected or probed %s, with %s of %s lately failed, seen by %s instances, where others fail %s of all",
			last.Fields["Server"], after, change.Fields["Failed"], change.Fields["Answered"], change.Fields["Sources"], change.Fields["Reference"])
	case strings.HasPrefix(change.Message, "Server: limited"):
		return fmt.Sprintf("backend server %s was slow: limited %s, as its answers took %s times as long as others'", last.Fields["Server"], after, change.Fields["AnswerTimes"])
	}
	return ""
}

// instanceCause returns what happened to the instance within instanceFaultWindow
// after the flow's last line, or "" if the lines show nothing.
func instanceCause(last Line, lines []Line) string {
	for _, l := range lines {
		if l.Instance != last.Instance || l.At.Before(last.At) || l.At.After(last.At.Add(instanceFaultWindow)) {
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

func count(flow []Line, message string) int {
	n := 0
	for _, l := range flow {
		if l.Message == message {
			n++
		}
	}
	return n
}
