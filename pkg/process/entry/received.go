package entry

// The methods in this file apply what other instances sent to the forwarding core. A
// message counts as of the time when it was received: the process may have been suspended
// while the message waited in its queue.

func (d *decider) receivePeerLoads(p peerLoads) {
	defer d.guards.messages.Contain()
	d.core.ReceivePressures(p.receivedAt, p.pressures)
	if len(p.loads) > 0 {
		d.core.ReceiveLoads(p.receivedAt, p.name, p.loads, p.aliveInstances)
	}
}

// answerInquiry answers with what is known now, as the answer is sent at once.
func (d *decider) answerInquiry(i inquiry) {
	defer d.guards.messages.Contain()
	d.answer(d.core.AnswerInquiry(d.host.Now(), i.marks), i.from)
}

func (d *decider) receiveAnswer(a answer) {
	defer d.guards.messages.Contain()
	d.core.ReceiveAnswer(a.receivedAt, a.loads, a.ownDataCentre)
}

func (d *decider) recordHeard(h heard) {
	defer d.guards.messages.Contain()
	d.core.HeardFrom(h.receivedAt, h.dataCentre)
	d.core.ReceiveCentreLoads(h.receivedAt, h.dataCentre, h.loads)
}
