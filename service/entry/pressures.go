package entry

import (
	"math"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
)

// levelUnits is the number of wire units in a level of 1.
const levelUnits = 10000

func pressuresToWire(pressures []admission.Pressure) []*Pressure {
	var wire []*Pressure
	for _, p := range pressures {
		wire = append(wire, &Pressure{
			Service: p.Service, AskedHundredths: toUnits(p.Asked, hundredths), AdmittedHundredths: toUnits(p.Admitted, hundredths),
			WaitMilliseconds: toMilliseconds(p.Wait), Answers: uint32(max(p.Answers, 0)), Level: toUnits(p.Level, levelUnits),
		})
	}
	return wire
}

func pressuresFromWire(wire []*Pressure) []admission.Pressure {
	var pressures []admission.Pressure
	for _, p := range wire {
		pressures = append(pressures, admission.Pressure{
			Service: p.GetService(), Asked: float64(p.GetAskedHundredths()) / hundredths, Admitted: float64(p.GetAdmittedHundredths()) / hundredths,
			Wait: fromMilliseconds(min(p.GetWaitMilliseconds(), math.MaxInt32)), Answers: int(min(p.GetAnswers(), math.MaxInt16)),
			Level: min(float64(p.GetLevel())/levelUnits, 1),
		})
	}
	return pressures
}

// toUnits returns a number in wire units, limited to the range from 0 to math.MaxInt32.
func toUnits(value, units float64) uint32 {
	return uint32(min(max(math.Round(value*units), 0), math.MaxInt32))
}
