package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// SetDemand replaces the demand of a shard owner. Count is the number of jobs
// that wait there and are not dispatched, those included for which a grant is
// under way. A message with a sequence number that is not higher is ignored.
func (p *Pool) SetDemand(now time.Time, from string, seq uint64, demand []model.Demand) {
	s := p.sources[from]
	if s == nil {
		s = &demandSource{id: from}
		p.sources[from] = s
	} else if seq <= s.seq {
		return
	}
	s.seq = seq
	s.muted = false
	p.changes++
	for _, share := range s.shares {
		share.count = 0
	}
	for _, d := range demand {
		p.addDemand(now, s, d)
	}
	p.refreshShares(s)
}

func (p *Pool) addDemand(now time.Time, s *demandSource, d model.Demand) {
	if d.Count <= 0 {
		return
	}
	c := p.class(classKey{template: d.Template, resources: d.Resources, tasks: max(1, d.Tasks)})
	share := c.share(s)
	if share == nil {
		share = &classShare{source: s, class: c}
		c.shares = append(c.shares, share)
		s.shares = append(s.shares, share)
	}
	share.count += d.Count
	share.oldest = d.Oldest
	share.told = now
}

// class returns the class with the key and creates it where needed.
func (p *Pool) class(key classKey) *demandClass {
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

// refreshShares recomputes the classes of a shard owner and drops what is empty.
func (p *Pool) refreshShares(s *demandSource) {
	kept := s.shares[:0]
	for _, share := range s.shares {
		if share.count > 0 || share.outstanding > 0 {
			kept = append(kept, share)
			share.class.refresh()
			continue
		}
		p.dropShare(share)
	}
	clear(s.shares[len(kept):])
	s.shares = kept
}

func (p *Pool) dropShare(share *classShare) {
	c := share.class
	for i, s := range c.shares {
		if s == share {
			c.shares = append(c.shares[:i], c.shares[i+1:]...)
			break
		}
	}
	c.refresh()
	if len(c.shares) == 0 {
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
	if p.earmarked > 0 {
		p.clearEarmarks(c)
	}
}

// DropDemand removes the demand of a shard owner that has left. Its unused
// grants expire by themselves.
func (p *Pool) DropDemand(from string) {
	s := p.sources[from]
	if s == nil {
		return
	}
	delete(p.sources, from)
	p.changes++
	for _, share := range s.shares {
		share.count, share.outstanding = 0, 0
		p.dropShare(share)
	}
	s.shares = nil
}

// settleGrant updates the demand that a grant was issued for. satisfied means
// that the job was dispatched or that the shard owner has none left.
func (p *Pool) settleGrant(g *issuedGrant, satisfied bool) {
	if g.share == nil {
		return
	}
	s := g.share
	s.outstanding = max(0, s.outstanding-1)
	if satisfied {
		s.count = max(0, s.count-1)
	}
	if s.count == 0 && s.outstanding == 0 {
		p.dropEmptyShare(s)
		return
	}
	s.class.refresh()
}

func (p *Pool) dropEmptyShare(share *classShare) {
	for i, s := range share.source.shares {
		if s == share {
			share.source.shares = append(share.source.shares[:i], share.source.shares[i+1:]...)
			p.dropShare(share)
			return
		}
	}
}
