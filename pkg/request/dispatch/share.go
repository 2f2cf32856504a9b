package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rules for the allocation of slots to classes.
const (
	arrivalAveragingTime = 2 * time.Second        // time constant of the average arrival rate
	sharePeriod          = 200 * time.Millisecond // between two computations of the shares
	burstCredit          = 1.0                    // seconds of its share that a class may save up for a burst
	headroom             = 0.3                    // of a need, added to it for arrivals in bursts
	headroomLimit        = 0.9                    // of the slots left by the needs, at most for headroom
	unmetReserve         = 0.1                    // of the slots, kept for classes whose needs don't fit
	minShare             = 0.01                   // slots, for a class without a need
	workTimeWeight       = 0.05                   // of a new answer in a class's mean work time
)

// demand is a class's demand in slots.
type demand struct {
	need float64 // to meet the class's target
	load float64 // to serve all its requests
}

// allocateShares divides the slots between the demands and returns a share for
// each, all above zero. Needs are met in ascending order as long as they fit; if
// the needs exceed the slots, unmetReserve is kept for those that don't fit. The
// rest is used for headroom, then for unmet needs, then for the remaining load.
func allocateShares(slots float64, demands []demand) []float64 {
	shares := make([]float64, len(demands))
	remaining := slots
	unmet := make([]float64, len(demands))
	for _, i := range ascendingNeeds(demands) {
		reserve := 0.0
		if totalNeed(demands) > slots {
			reserve = unmetReserve * slots
		}
		if demands[i].need > remaining-reserve {
			unmet[i] = demands[i].need
			continue
		}
		shares[i] = demands[i].need
		remaining -= demands[i].need
	}
	remaining -= addHeadroom(remaining*headroomLimit, shares)
	remaining -= distribute(remaining, unmet, shares)
	excess := make([]float64, len(demands))
	for i, d := range demands {
		excess[i] = max(0, d.load-shares[i])
	}
	distribute(remaining, excess, shares)
	for i := range shares {
		shares[i] = max(shares[i], minShare)
	}
	return shares
}

// addHeadroom raises the shares by headroom, for arrivals in bursts, as far as
// slots suffice, and returns how many it used.
func addHeadroom(slots float64, shares []float64) float64 {
	wanted := make([]float64, len(shares))
	for i := range shares {
		wanted[i] = shares[i] * headroom
	}
	return distribute(slots, wanted, shares)
}

func totalNeed(demands []demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d.need
	}
	return sum
}

// ascendingNeeds returns the indices of the demands in ascending order of need.
func ascendingNeeds(demands []demand) []int {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a].need, demands[b].need) })
	return order
}

// distribute divides slots max-min fairly: it adds up to wanted to each share,
// the smallest wanted first, and returns how many slots it used.
func distribute(slots float64, wanted, shares []float64) float64 {
	order := make([]int, len(wanted))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })
	used := 0.0
	for n, i := range order {
		evenPart := (slots - used) / float64(len(order)-n)
		added := min(wanted[i], max(0, evenPart))
		shares[i] += added
		used += added
	}
	return used
}

// rate is an exponentially decaying average of arrivals a second.
type rate struct {
	perSecond float64
	updated   time.Time
}

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / arrivalAveragingTime.Seconds()
}

func (r *rate) decay(now time.Time) {
	if now.After(r.updated) {
		r.perSecond *= math.Exp(-now.Sub(r.updated).Seconds() / arrivalAveragingTime.Seconds())
		r.updated = now
	}
}

// requiredShare returns the share of a class's load that has to be served: from
// the target's share at a burn rate of 0 up to all of it at 1 and above.
func requiredShare(share, burn float64) float64 {
	return share + (1-share)*min(1, burn)
}
