package replay

import "math"

// reportShares compares the work done for each organisation with its fair share
// by contract.
func (m *meter) reportShares(b *bench, r *Report) {
	done := 0.0
	for _, o := range b.options.Trace.Header.Organisations {
		r.Organisations = append(r.Organisations, Organisation{
			ID: o.ID, Share: o.Share, Offered: m.offeredBy[o.ID], Done: m.doneBy[o.ID], Spent: m.spentBy[o.ID],
		})
		done += float64(m.doneBy[o.ID])
	}
	fair := fairShares(r.Organisations, done)
	for i, o := range r.Organisations {
		if fair[i] > 0 {
			r.ShareError = max(r.ShareError, math.Abs(float64(o.Done)-fair[i])/fair[i])
		}
	}
}

// fairShares divides the work that was done by the contract's shares. No
// organisation gets more than it offered; what it leaves unused is divided
// among the others by share.
func fairShares(orgs []Organisation, work float64) []float64 {
	fair := make([]float64, len(orgs))
	for range orgs {
		openShares := 0.0
		for i, o := range orgs {
			if fair[i] < float64(o.Offered) {
				openShares += o.Share
			}
		}
		if openShares == 0 || work < 1 {
			break
		}
		assigned := 0.0
		for i, o := range orgs {
			if fair[i] < float64(o.Offered) {
				more := min(work*o.Share/openShares, float64(o.Offered)-fair[i])
				fair[i] += more
				assigned += more
			}
		}
		work -= assigned
	}
	return fair
}
