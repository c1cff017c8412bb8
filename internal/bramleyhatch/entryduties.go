package bramleyhatch

// addDuties adds the platform's client, duties under leases and usage.
func (e *Entry) addDuties() {}
