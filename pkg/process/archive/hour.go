package archive

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
)

// Shards is the number of store keys that an hour is spread over.
const Shards = 16

// Totals counts the requests and flows of one class by the cause with which
// they ended.
type Totals struct {
	Requests map[budget.Cause]uint64
	Flows    map[budget.Cause]uint64
}

// plus returns the sum of two totals without changing either.
func (t Totals) plus(o Totals) Totals {
	return Totals{Requests: sum(t.Requests, o.Requests), Flows: sum(t.Flows, o.Flows)}
}

func sum(a, b map[budget.Cause]uint64) map[budget.Cause]uint64 {
	total := make(map[budget.Cause]uint64, len(a))
	maps.Copy(total, a)
	for cause, n := range b {
		total[cause] += n
	}
	return total
}

// Hour holds what some instances counted in one hour.
type Hour struct {
	Start   time.Time
	Classes map[string]Totals
	// Contributors are the incarnations of instances whose counts are
	// included, sorted.
	Contributors []string
}

// Includes reports whether the contributor's counts are included in h.
func (h Hour) Includes(contributor string) bool {
	_, found := slices.BinarySearch(h.Contributors, contributor)
	return found
}

// Plus returns the sum of two hours with the same start. If h already
// includes all contributors of o, it returns h.
func (h Hour) Plus(o Hour) Hour {
	if len(o.Contributors) > 0 && !slices.ContainsFunc(o.Contributors, func(c string) bool { return !h.Includes(c) }) {
		return h
	}
	total := Hour{Start: o.Start, Classes: make(map[string]Totals, len(h.Classes))}
	maps.Copy(total.Classes, h.Classes)
	for class, t := range o.Classes {
		total.Classes[class] = total.Classes[class].plus(t)
	}
	total.Contributors = slices.Concat(h.Contributors, o.Contributors)
	slices.Sort(total.Contributors)
	return total
}

// Shard returns the part of h with the classes of one shard.
func (h Hour) Shard(shard int) Hour {
	part := Hour{Start: h.Start, Classes: make(map[string]Totals), Contributors: h.Contributors}
	for class, t := range h.Classes {
		if ShardOf(class) == shard {
			part.Classes[class] = t
		}
	}
	return part
}

// ShardOf returns the shard that a class belongs to.
func ShardOf(class string) int { return int(xxhash.Sum64String(class) % Shards) }

// KeptShard is one shard of an hour as the platform keeps it.
type KeptShard struct {
	Hour
	Shard int
}

// Series holds the merged counts of one class, one interval per hour.
type Series struct {
	Requests budget.Series
	Flows    budget.Series
}

// Merge sums the hours that the platform keeps and those that live instances
// hold. Counts of a live instance that a kept shard already includes are left
// out.
func Merge(kept []KeptShard, live []Hour) map[string]Series {
	merged := make(map[string]Series)
	for _, h := range kept {
		for class, t := range h.Classes {
			merged[class] = merged[class].add(h.Start, t)
		}
	}
	for _, h := range live {
		for class, t := range h.Classes {
			if !isKept(kept, h, ShardOf(class)) {
				merged[class] = merged[class].add(h.Start, t)
			}
		}
	}
	return merged
}

// isKept reports whether the kept shard of the hour includes h's contributor.
func isKept(kept []KeptShard, h Hour, shard int) bool {
	return slices.ContainsFunc(kept, func(k KeptShard) bool {
		return k.Shard == shard && k.Start.Equal(h.Start) && len(h.Contributors) > 0 && k.Includes(h.Contributors[0])
	})
}

func (s Series) add(start time.Time, t Totals) Series {
	return Series{
		Requests: budget.Merge(s.Requests, budget.Series{{Start: start, Counts: t.Requests}}),
		Flows:    budget.Merge(s.Flows, budget.Series{{Start: start, Counts: t.Flows}}),
	}
}
