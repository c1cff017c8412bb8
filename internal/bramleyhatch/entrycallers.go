package bramleyhatch

// addCallers adds the callers' interface and the connections to sidecars.
func (e *Entry) addCallers() {}
