package api

// This file converts between the wire types and the messages by which the packet
// cores of instances agree on flows.

import (
	"encoding/binary"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	fingerprintBytes = 6 // bytes of a fingerprint on the wire
)

// FlowMessageToWire converts a message between packet cores; from is the name
// of the sending instance.
func FlowMessageToWire(from string, m flow.Message) *TellRequest {
	p := m.Progress
	w := &TellRequest{
		From: from,
		Progress: &FlowProgress{
			Blank: p.Unsynchronised, Heard: uint64(p.Received), Told: uint64(p.Reported), Settled: uint64(p.BaseVersion),
			Copied: p.CopiedView, Digest: p.Digest, View: p.View, ViewNumber: p.ViewNumber,
		},
		Records: flowRecordsToWire(m.Records),
		Asks:    m.RequestsHistory,
	}
	if m.History != nil {
		w.History = flowHistoryToWire(*m.History)
	}
	return w
}

// flowRecordsToWire groups the records by backend server. The groups are in
// the order in which their servers first appear.
func flowRecordsToWire(records []flow.Record) []*FlowRecords {
	var groups []*FlowRecords
	byServer := make(map[uint64]*FlowRecords)
	for _, r := range records {
		g, ok := byServer[r.Server]
		if !ok {
			g = &FlowRecords{Server: r.Server}
			byServer[r.Server] = g
			groups = append(groups, g)
		}
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], r.Fingerprint)
		g.Prints = append(g.Prints, b[:fingerprintBytes]...)
	}
	return groups
}

func flowHistoryToWire(h flow.History) *FlowHistory {
	w := &FlowHistory{Version: uint64(h.Version), Settled: uint64(h.BaseVersion), View: h.View, ViewNumber: h.ViewNumber}
	for _, s := range h.Services {
		converted := &FlowServiceHistory{Service: s.Service, Base: s.Base, All: s.AllDisputed}
		for _, e := range s.Epochs {
			converted.Epochs = append(converted.Epochs, &FlowEpoch{Seeds: e})
		}
		w.Services = append(w.Services, converted)
	}
	return w
}

// FlowMessageFromWire converts a message between packet cores. A truncated
// fingerprint at the end of a group is ignored.
func FlowMessageFromWire(w *TellRequest) flow.Message {
	p := w.GetProgress()
	m := flow.Message{
		Progress: flow.Progress{
			Unsynchronised: p.GetBlank(), Received: catalogue.Order(p.GetHeard()), Reported: catalogue.Order(p.GetTold()),
			BaseVersion: catalogue.Order(p.GetSettled()), CopiedView: p.GetCopied(), Digest: p.GetDigest(), View: p.GetView(), ViewNumber: p.GetViewNumber(),
		},
		RequestsHistory: w.GetAsks(),
	}
	for _, g := range w.GetRecords() {
		for prints := g.GetPrints(); len(prints) >= fingerprintBytes; prints = prints[fingerprintBytes:] {
			var b [8]byte
			copy(b[:], prints[:fingerprintBytes])
			m.Records = append(m.Records, flow.Record{Fingerprint: binary.BigEndian.Uint64(b[:]), Server: g.GetServer()})
		}
	}
	if w.GetHistory() != nil {
		m.History = flowHistoryFromWire(w.GetHistory())
	}
	return m
}

func flowHistoryFromWire(w *FlowHistory) *flow.History {
	h := &flow.History{Version: catalogue.Order(w.GetVersion()), BaseVersion: catalogue.Order(w.GetSettled()), View: w.GetView(), ViewNumber: w.GetViewNumber()}
	for _, s := range w.GetServices() {
		converted := flow.ServiceHistory{Service: s.GetService(), Base: s.GetBase(), AllDisputed: s.GetAll()}
		for _, e := range s.GetEpochs() {
			converted.Epochs = append(converted.Epochs, e.GetSeeds())
		}
		h.Services = append(h.Services, converted)
	}
	return h
}
