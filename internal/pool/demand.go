package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// SetDemand replaces the demand of a shard owner. Count is the number of jobs
// there that are not dispatched, including those for which a grant is
// outstanding. A message whose sequence number is not higher than the last one
// is ignored.
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
	for _, owner := range s.demands {
		owner.count = 0
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
	owner := c.demandFrom(s)
	if owner == nil {
		owner = &ownerDemand{source: s, class: c}
		c.demands = append(c.demands, owner)
		s.demands = append(s.demands, owner)
	}
	owner.count += d.Count
	owner.oldest = d.Oldest
	owner.reportedAt = now
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

// refreshOwnerDemands recomputes the classes of a shard owner and removes empty
// demands.
func (p *Pool) refreshOwnerDemands(s *demandSource) {
	kept := s.demands[:0]
	for _, owner := range s.demands {
		if owner.count > 0 || owner.outstanding > 0 {
			kept = append(kept, owner)
			owner.class.refresh()
			continue
		}
		p.dropOwnerDemand(owner)
	}
	clear(s.demands[len(kept):])
	s.demands = kept
}

func (p *Pool) dropOwnerDemand(owner *ownerDemand) {
	c := owner.class
	for i, s := range c.demands {
		if s == owner {
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
	for _, owner := range s.demands {
		owner.count, owner.outstanding = 0, 0
		p.dropOwnerDemand(owner)
	}
	s.demands = nil
}

// updateDemand updates the demand that a grant was issued for. satisfied means
// that the job was dispatched or that the shard owner has none left.
func (p *Pool) updateDemand(g *issuedGrant, satisfied bool) {
	if g.demand == nil {
		return
	}
	s := g.demand
	s.outstanding = max(0, s.outstanding-1)
	if satisfied {
		s.count = max(0, s.count-1)
	}
	if s.count == 0 && s.outstanding == 0 {
		p.dropEmptyOwnerDemand(s)
		return
	}
	s.class.refresh()
}

func (p *Pool) dropEmptyOwnerDemand(owner *ownerDemand) {
	for i, s := range owner.source.demands {
		if s == owner {
			owner.source.demands = append(owner.source.demands[:i], owner.source.demands[i+1:]...)
			p.dropOwnerDemand(owner)
			return
		}
	}
}
