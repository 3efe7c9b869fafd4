package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// SetDemand replaces the demand of a shard owner. Count is the number of units in its
// queues that are not dispatched (a unit is a request or job, a gang, or a replica of a
// service), including those for which a grant is outstanding. A message whose sequence
// number is not higher than the last one is ignored.
func (p *Pool) SetDemand(now time.Time, from string, seq uint64, demand []model.Demand) {
	s := p.sources[from]
	if s == nil {
		s = &demandSource{id: from}
		p.sources[from] = s
	} else if seq <= s.seq {
		return
	}
	s.seq = seq
	s.suspended = false
	p.changes++
	for _, od := range s.demands {
		od.count = 0
	}
	for _, d := range demand {
		p.addDemand(now, s, d)
	}
	p.refreshOwnerDemands(s)
}

func (p *Pool) addDemand(now time.Time, s *demandSource, d model.Demand) {
	if d.Count <= 0 {
		return
	}
	c := p.classFor(classKey{template: d.Template, resources: d.Resources, tasks: max(1, d.Tasks)})
	od := c.demandFrom(s)
	if od == nil {
		od = &ownerDemand{source: s, class: c}
		c.demands = append(c.demands, od)
		s.demands = append(s.demands, od)
	}
	od.count += d.Count
	od.oldest = d.Oldest
	od.reportedAt = now
}

// classFor returns the class with the key and creates it if needed.
func (p *Pool) classFor(key classKey) *demandClass {
	c := p.classes[key]
	if c == nil {
		c = &demandClass{
			key:      key,
			template: p.template(key.template),
			need:     key.resources.Scale(int64(key.tasks)),
		}
		p.classes[key] = c
		p.classOrder = append(p.classOrder, c)
	}
	return c
}

// refreshOwnerDemands recomputes the classes in which the shard owner has demand and
// removes its empty demands.
func (p *Pool) refreshOwnerDemands(s *demandSource) {
	kept := s.demands[:0]
	for _, od := range s.demands {
		if od.count > 0 || od.outstanding > 0 {
			kept = append(kept, od)
			od.class.refresh()
			continue
		}
		p.dropOwnerDemand(od)
	}
	clear(s.demands[len(kept):])
	s.demands = kept
}

func (p *Pool) dropOwnerDemand(od *ownerDemand) {
	c := od.class
	for i, other := range c.demands {
		if other == od {
			c.demands = append(c.demands[:i], c.demands[i+1:]...)
			break
		}
	}
	c.refresh()
	if len(c.demands) == 0 {
		p.dropClass(c)
	}
}

func (p *Pool) dropClass(c *demandClass) {
	delete(p.classes, c.key)
	for i, known := range p.classOrder {
		if known == c {
			p.classOrder = append(p.classOrder[:i], p.classOrder[i+1:]...)
			break
		}
	}
	if p.reservedEndpoints > 0 {
		p.clearReservations(c)
	}
}

// DropDemand removes the demand of a shard owner that has left. Its unused
// grants expire on their own.
func (p *Pool) DropDemand(from string) {
	s := p.sources[from]
	if s == nil {
		return
	}
	delete(p.sources, from)
	p.changes++
	for _, od := range s.demands {
		od.count, od.outstanding = 0, 0
		p.dropOwnerDemand(od)
	}
	s.demands = nil
}

// updateDemand updates the demand that a grant was issued for. satisfied means
// that the unit was dispatched or that the shard owner has none left.
func (p *Pool) updateDemand(g *issuedGrant, satisfied bool) {
	if g.demand == nil {
		return
	}
	od := g.demand
	od.outstanding = max(0, od.outstanding-1)
	if satisfied {
		od.count = max(0, od.count-1)
	}
	if od.count == 0 && od.outstanding == 0 {
		p.dropEmptyOwnerDemand(od)
		return
	}
	od.class.refresh()
}

func (p *Pool) dropEmptyOwnerDemand(od *ownerDemand) {
	for i, other := range od.source.demands {
		if other == od {
			od.source.demands = append(od.source.demands[:i], od.source.demands[i+1:]...)
			p.dropOwnerDemand(od)
			return
		}
	}
}
