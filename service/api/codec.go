package api

// This file encodes the messages that are compressed: those kept in the store,
// and the configuration that instances send each other.

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
)

// decodedLimit is the largest decompressed message that is accepted, in
// bytes.
const decodedLimit = 16 << 20

// The encoder and the decoder are safe for use from several goroutines.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(decodedLimit))
	})
)

func compress(m proto.Message) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "marshal")
	}
	writer, err := encoder()
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return writer.EncodeAll(raw, nil), nil
}

func decompress(data []byte, m proto.Message) error {
	reader, err := decoder()
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	raw, err := reader.DecodeAll(data, nil)
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return errors.Wrap(err, "unmarshal")
	}
	return nil
}

// EncodeCatalogue returns c encoded and compressed, as the store holds it.
func EncodeCatalogue(c catalogue.Catalogue) ([]byte, error) {
	return compress(CatalogueToWire(c))
}

// DecodeCatalogue decodes what EncodeCatalogue returned. Data that decompress
// to more than decodedLimit are refused.
func DecodeCatalogue(data []byte) (catalogue.Catalogue, error) {
	w := &Catalogue{}
	if err := decompress(data, w); err != nil {
		return catalogue.Catalogue{}, err
	}
	return CatalogueFromWire(w)
}

// EncodeUpdate returns u encoded and compressed, as instances send it and as
// the head in the store holds it.
func EncodeUpdate(u gossip.Update) ([]byte, error) {
	w := &Update{Marks: DataCentreMarksToWire(u.Marks)}
	if u.Difference != nil {
		w.Difference = &Difference{
			Base:       uint64(u.Difference.Base),
			BaseDigest: u.Difference.BaseDigest,
			Changed:    partsToWire(u.Difference.Parts),
		}
	}
	if u.Full != nil {
		w.Full = CatalogueToWire(*u.Full)
	}
	return compress(w)
}

// DecodeUpdate decodes what EncodeUpdate returned. Empty data are an empty
// update.
func DecodeUpdate(data []byte) (gossip.Update, error) {
	if len(data) == 0 {
		return gossip.Update{}, nil
	}
	w := &Update{}
	if err := decompress(data, w); err != nil {
		return gossip.Update{}, err
	}
	u := gossip.Update{Marks: DataCentreMarksFromWire(w.GetMarks())}
	if w.GetDifference() != nil {
		parts, err := partsFromWire(w.GetDifference().GetChanged())
		if err != nil {
			return gossip.Update{}, err
		}
		u.Difference = &catalogue.Difference{
			Base:       catalogue.Version(w.GetDifference().GetBase()),
			BaseDigest: w.GetDifference().GetBaseDigest(),
			Parts:      parts,
		}
	}
	if w.GetFull() == nil {
		return u, nil
	}
	full, err := CatalogueFromWire(w.GetFull())
	u.Full = &full
	return u, err
}

// SpreadToWire converts what one instance sends another about the
// configuration. An empty update is left out.
func SpreadToWire(d gossip.Digest, u gossip.Update) (*Spread, error) {
	w := &Spread{Digest: DigestToWire(d)}
	if u.Difference == nil && u.Full == nil && len(u.Marks) == 0 {
		return w, nil
	}
	var err error
	w.Update, err = EncodeUpdate(u)
	return w, err
}

// SpreadFromWire converts what SpreadToWire returned.
func SpreadFromWire(w *Spread) (gossip.Digest, gossip.Update, error) {
	u, err := DecodeUpdate(w.GetUpdate())
	return DigestFromWire(w.GetDigest()), u, err
}

// DigestToWire converts the digest of a configuration.
func DigestToWire(d gossip.Digest) *Digest {
	return &Digest{Version: uint64(d.Version), History: d.History, Marks: d.Marks}
}

// DigestFromWire converts the digest of a configuration.
func DigestFromWire(w *Digest) gossip.Digest {
	return gossip.Digest{Version: catalogue.Version(w.GetVersion()), History: w.GetHistory(), Marks: w.GetMarks()}
}

// DataCentreMarksToWire converts emergency marks.
func DataCentreMarksToWire(marks []catalogue.Mark) []*DataCentreMark {
	wire := make([]*DataCentreMark, 0, len(marks))
	for _, m := range marks {
		wire = append(wire, &DataCentreMark{
			DataCentre:       m.DataCentre,
			State:            DataCentreState(m.State),
			Number:           m.Number,
			Identifier:       m.Identifier,
			Author:           m.Author,
			Reason:           m.Reason,
			UnixMilliseconds: m.At.UnixMilli(),
		})
	}
	return wire
}

// DataCentreMarksFromWire converts emergency marks.
func DataCentreMarksFromWire(wire []*DataCentreMark) []catalogue.Mark {
	marks := make([]catalogue.Mark, 0, len(wire))
	for _, w := range wire {
		marks = append(marks, catalogue.Mark{
			DataCentre: w.GetDataCentre(),
			State:      catalogue.DataCentreState(w.GetState()),
			Number:     w.GetNumber(),
			Identifier: w.GetIdentifier(),
			Author:     w.GetAuthor(),
			Reason:     w.GetReason(),
			At:         timeFromWire(w.GetUnixMilliseconds()),
		})
	}
	return marks
}

func removalToWire(r catalogue.Removal) *Removal {
	return &Removal{
		Kind:             uint32(r.Kind),
		Name:             r.Name,
		Version:          uint64(r.Version),
		UnixMilliseconds: r.At.UnixMilli(),
		Address:          addressToWire(r.Address),
	}
}

func removalFromWire(w *Removal) (catalogue.Removal, error) {
	address, err := addressFromWire(w.GetAddress())
	if err != nil {
		return catalogue.Removal{}, errors.Wrapf(err, "removal %q", w.GetName())
	}
	return catalogue.Removal{
		Kind:    catalogue.Kind(w.GetKind()),
		Name:    w.GetName(),
		Version: catalogue.Version(w.GetVersion()),
		At:      timeFromWire(w.GetUnixMilliseconds()),
		Address: address,
	}, nil
}
