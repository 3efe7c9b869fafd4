package pool

import (
	"math/bits"

	"github.com/agateyard/agateyard/internal/model"
)

// The grid has one level per number of free accelerators. Each level has
// gridBuckets rows by free cores (or slots) and gridBuckets columns by free memory.
const (
	gridBuckets = 64
	gridLevels  = 17 // the last level also holds all greater numbers of accelerators
)

// gridIndex finds endpoints with bitmaps of the occupied cells. It is used for
// large pools.
type gridIndex struct {
	leastLoaded bool
	scale       model.Resources // capacity that falls into the last bucket
	levels      [gridLevels]gridLevel
}

type gridLevel struct {
	occupied uint64 // rows with an endpoint
	rows     [gridBuckets]*gridRow
}

type gridRow struct {
	occupied uint64 // cells with an endpoint
	cells    [gridBuckets]gridCell
}

// gridCell holds the endpoints of one cell. maxFree is an upper bound of their
// free capacity in each dimension: a cell without a fitting endpoint can usually
// be skipped without a scan.
type gridCell struct {
	endpoints []*endpointState
	maxFree   model.Resources
}

// cellRef is the position of an endpoint in the grid.
type cellRef struct {
	present              bool
	level, row, col, pos int
}

// newGridIndex returns a grid over the endpoints.
func newGridIndex(leastLoaded bool, endpoints []*endpointState) *gridIndex {
	g := &gridIndex{leastLoaded: leastLoaded}
	for _, e := range endpoints {
		g.scale = maxResources(g.scale, e.capacity)
	}
	for _, e := range endpoints {
		e.cell = cellRef{}
	}
	for _, e := range endpoints {
		g.update(e, e.active)
	}
	return g
}

// covers reports whether the buckets extend up to the capacity.
func (g *gridIndex) covers(capacity model.Resources) bool {
	return maxResources(g.scale, capacity) == g.scale
}

// bucket returns the bucket that an amount falls into.
func bucket(amount, scale int64) int {
	if amount <= 0 || scale <= 0 {
		return 0
	}
	return int(min(gridBuckets-1, amount*(gridBuckets-1)/scale))
}

func (g *gridIndex) rowOf(r model.Resources) int {
	if g.leastLoaded {
		return bucket(r.Slots, g.scale.Slots)
	}
	return bucket(r.CoresMilli, g.scale.CoresMilli)
}

func (g *gridIndex) cellFor(free model.Resources) cellRef {
	return cellRef{
		present: true,
		level:   int(max(0, min(gridLevels-1, free.Accelerators))),
		row:     g.rowOf(free),
		col:     bucket(free.MemoryMB, g.scale.MemoryMB),
	}
}

func (g *gridIndex) update(e *endpointState, present bool) {
	free := e.free()
	to := g.cellFor(free)
	old := e.cell
	if old.present && present && old.level == to.level && old.row == to.row && old.col == to.col {
		cell := &g.levels[old.level].rows[old.row].cells[old.col]
		cell.maxFree = maxResources(cell.maxFree, free)
		return
	}
	if old.present {
		g.remove(e)
	}
	if present {
		g.insert(e, to, free)
	}
}

func (g *gridIndex) insert(e *endpointState, to cellRef, free model.Resources) {
	level := &g.levels[to.level]
	if level.rows[to.row] == nil {
		level.rows[to.row] = &gridRow{}
	}
	row := level.rows[to.row]
	cell := &row.cells[to.col]
	to.pos = len(cell.endpoints)
	cell.endpoints = append(cell.endpoints, e)
	if to.pos == 0 {
		cell.maxFree = free
	}
	cell.maxFree = maxResources(cell.maxFree, free)
	row.occupied |= 1 << to.col
	level.occupied |= 1 << to.row
	e.cell = to
}

func (g *gridIndex) remove(e *endpointState) {
	at := e.cell
	level := &g.levels[at.level]
	row := level.rows[at.row]
	cell := &row.cells[at.col]
	last := len(cell.endpoints) - 1
	cell.endpoints[at.pos] = cell.endpoints[last]
	cell.endpoints[at.pos].cell.pos = at.pos
	cell.endpoints[last] = nil
	cell.endpoints = cell.endpoints[:last]
	e.cell = cellRef{}
	if last > 0 {
		return
	}
	row.occupied &^= 1 << at.col
	if row.occupied == 0 {
		level.occupied &^= 1 << at.row
	}
}

func (g *gridIndex) best(need model.Resources, f *placeFilter) *endpointState {
	// Fewest free accelerators first, so that tasks without accelerators don't
	// take the cores and memory that accelerator tasks need.
	for l := int(max(0, min(gridLevels-1, need.Accelerators))); l < gridLevels; l++ {
		if g.levels[l].occupied == 0 {
			continue
		}
		if e := g.bestInLevel(&g.levels[l], need, f); e != nil {
			return e
		}
	}
	return nil
}

func (g *gridIndex) bestInLevel(level *gridLevel, need model.Resources, f *placeFilter) *endpointState {
	first, col := g.rowOf(need), bucket(need.MemoryMB, g.scale.MemoryMB)
	rows := level.occupied &^ (1<<first - 1)
	if g.leastLoaded {
		return g.leastLoadedIn(level, rows, need, f)
	}
	var best *endpointState
	var bestCost float64
	for ; rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros64(rows)
		// Lower bound of the cost in this row and all later ones, from the leftover cores alone.
		floor := float64(r-first-1) / (gridBuckets - 1)
		if best != nil && floor >= bestCost {
			break
		}
		e := g.bestInRow(level.rows[r], col, need, f)
		if e == nil {
			continue
		}
		if cost := fitCost(e.free().Sub(need), g.scale); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (g *gridIndex) leastLoadedIn(level *gridLevel, rows uint64, need model.Resources, f *placeFilter) *endpointState {
	for rows != 0 {
		r := bits.Len64(rows) - 1
		rows &^= 1 << r
		if e := g.bestInRow(level.rows[r], 0, need, f); e != nil {
			return e
		}
	}
	return nil
}

// bestInRow returns a fitting endpoint from the lowest memory bucket that has one.
func (g *gridIndex) bestInRow(row *gridRow, col int, need model.Resources, f *placeFilter) *endpointState {
	for cols := row.occupied &^ (1<<col - 1); cols != 0; cols &= cols - 1 {
		cell := &row.cells[bits.TrailingZeros64(cols)]
		if !need.Fits(cell.maxFree) {
			continue
		}
		if e := cell.find(need, f); e != nil {
			return e
		}
	}
	return nil
}

// find returns the first endpoint that fits and passes the filter. If there is
// none, it tightens maxFree to the exact maximum of the cell.
func (c *gridCell) find(need model.Resources, f *placeFilter) *endpointState {
	var maxFree model.Resources
	for _, e := range c.endpoints {
		free := e.free()
		if need.Fits(free) && f.allows(e) {
			return e
		}
		maxFree = maxResources(maxFree, free)
	}
	c.maxFree = maxFree
	return nil
}
