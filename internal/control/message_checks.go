package control

// maxTerm is far above the terms of any cell. Run numbers derive from terms and must not overflow.
const maxTerm = 1 << 40

// valid reports whether a claim from the store or from a peer has all fields and is in range.
func (o OwnerInfo) valid() bool {
	return o.Incarnation != "" && o.Term > 0 && o.Term < maxTerm && o.Rev >= 0
}

// valid reports whether the entry of a member has all fields and is in range.
func (m Member) valid() bool { return m.Incarnation != "" && m.Address != "" && m.Weight >= 0 }
