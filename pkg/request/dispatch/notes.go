package dispatch

// noteLimit is how many notes are kept between two calls of Notes; further ones
// are dropped.
const noteLimit = 256

// Note explains one decision on a class or a backend server, for the journal.
type Note struct {
	// Subject names the class or backend server.
	Subject string
	// Action says what was done, in Pascal case.
	Action string
	// Cause says why, in a few words.
	Cause string
}

// notes collects the decisions of a core that no caller asked for.
type notes struct{ list []Note }

func (n *notes) add(subject, action, cause string) {
	if len(n.list) < noteLimit {
		n.list = append(n.list, Note{Subject: subject, Action: action, Cause: cause})
	}
}

// Notes returns the decisions on classes and backend servers since its last
// call. The caller owns the slice.
func (c *Core) Notes() []Note {
	list := c.notes.list
	c.notes.list = nil
	return list
}
