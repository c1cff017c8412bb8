package measure

// Experiments returns all experiments in the order of docs/MEASUREMENTS.md.
func Experiments() []Experiment {
	return []Experiment{
		Fairness(),
		Stragglers(),
		Staleness(),
		Weights(),
		Membership(),
		MembershipSlope(),
	}
}
