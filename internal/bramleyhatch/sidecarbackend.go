package bramleyhatch

// addBackend adds the service for entries and the client of the backend server.
func (s *Sidecar) addBackend() {}
