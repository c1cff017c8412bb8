package bramleyhatch

// addTrainers adds the trainers' interface.
func (e *Entry) addTrainers() {}
