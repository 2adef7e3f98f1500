package hibiscusprotocol

import "hibiscusrouter/hibiscuscoordination"

// admissionBody is the admission of jobs with objectives to a service.
type admissionBody struct {
	InTime               uint64                   `json:"in_time"`
	Late                 uint64                   `json:"late"`
	Refused              uint64                   `json:"refused"`
	RefusedWaiting       uint64                   `json:"refused_waiting"`
	Abandoned            uint64                   `json:"abandoned"`
	ForecastSlots        int                      `json:"forecast_slots"`
	ObtainedSlots        int                      `json:"obtained_slots"`
	ForecastErrorPercent int                      `json:"forecast_error_percent"`
	Kinds                map[string]kindShareBody `json:"kinds"`
}

// kindShareBody is which part of its offered work a kind gets, and which it should get.
type kindShareBody struct {
	ServedPercent int `json:"served_percent"`
	TargetPercent int `json:"target_percent"`
}

func admissionBodyOf(a *hibiscuscoordination.AdmissionSnapshot) *admissionBody {
	if a == nil {
		return nil
	}
	const percent = 100
	body := &admissionBody{
		InTime: a.InTime(), Late: a.Late(), Refused: a.Refused(), RefusedWaiting: a.RefusedWaiting(), Abandoned: a.Abandoned(),
		ForecastSlots: int(a.Forecast()), ObtainedSlots: a.Obtained(), ForecastErrorPercent: int(percent * a.ForecastError()),
		Kinds: map[string]kindShareBody{},
	}
	for _, k := range a.Kinds() {
		body.Kinds[k.Kind()] = kindShareBody{ServedPercent: int(percent * k.Served()), TargetPercent: int(percent * k.Target())}
	}
	return body
}
