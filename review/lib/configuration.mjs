/** The operator's configuration: one service and one queue. */
export const configuration = {
  version: 1,
  routes: [
    {
      name: 'q',
      host: 'h.example',
      prefix: '/q/',
      service: 's',
      priority: 1,
      attempts: 2,
      slack_factor: 2,
      slo_ms: 1_000,
    },
  ],
  services: [{name: 's', admission_check: true}],
  limits: {},
};
