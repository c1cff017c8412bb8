package bramleyhatch

// addMembers adds membership.
func (s *Sidecar) addMembers() {}
