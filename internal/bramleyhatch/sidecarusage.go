package bramleyhatch

// addUsage adds the usage counters.
func (s *Sidecar) addUsage() {}
