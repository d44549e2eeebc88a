package api

import (
	"net/http"

	"stoatweir/internal/tenants"
)

// usageView is a tenant's usage at this scheduler as administrators see it. Its fields are described
// at tenants.Usage.
type usageView struct {
	Admitted        int                           `json:"taken"`
	Retries         int                           `json:"retries"`
	Succeeded       int                           `json:"succeeded"`
	Declined        int                           `json:"declined"`
	Aborted         int                           `json:"aborted"`
	Abandoned       int                           `json:"abandoned"`
	Migrated        int                           `json:"handed_over"`
	Throttled       map[tenants.RejectionKind]int `json:"throttled"`
	InFlight        int                           `json:"in_hand"`
	HeldWorkSeconds float64                       `json:"held_work_s"`
	Bytes           int64                         `json:"bytes"`
	ShareInFlight   float64                       `json:"share_in_hand"`
	WorkRate        float64                       `json:"work_per_s"`
	WorkShare       float64                       `json:"share_per_s"`
	OverShare       bool                          `json:"beyond_share"`
	Schedulers      int                           `json:"schedulers"` // number of schedulers that each limit is divided among
}

func (a *API) getUsage(r *request) (response, error) {
	if err := r.allowQuery(); err != nil {
		return response{}, err
	}
	usage, known := a.usage(r.PathValue("name"))
	if !known {
		return response{}, tenants.ErrNotFound
	}
	return response{status: http.StatusOK, body: usageView{
		Admitted:        usage.Admitted,
		Retries:         usage.Retries,
		Succeeded:       usage.Completed[tenants.Succeeded],
		Declined:        usage.Completed[tenants.Declined],
		Aborted:         usage.Completed[tenants.Aborted],
		Abandoned:       usage.Completed[tenants.Abandoned],
		Migrated:        usage.Completed[tenants.Migrated],
		Throttled:       usage.Throttled,
		InFlight:        usage.InFlight,
		HeldWorkSeconds: usage.HeldWorkSeconds,
		Bytes:           usage.Bytes,
		ShareInFlight:   usage.ShareInFlight,
		WorkRate:        usage.WorkRate,
		WorkShare:       usage.WorkShare,
		OverShare:       usage.OverShare,
		Schedulers:      a.schedulers,
	}}, nil
}
