/** Guards against a number of time series that grows with the number of tenants. */
import { expect, it } from 'vitest';
import type { RequestRecord } from '../ingress/requestRecord.js';
import { type SidecarGauges, SidecarMetrics } from './sidecar-metrics.js';

it('counts ten tenants with the highest limits by name, and the others under one label', async () => {
  const metrics = new SidecarMetrics();
  const tenants = Array.from({ length: 77 }, (_, index) => ({
    name: `t${index}`,
    ratePerS: index,
  }));
  metrics.noteTenants(tenants);
  metrics.noteTenants([{ name: 'late', ratePerS: 1_000 }]);
  for (const tenant of [...tenants.map(({ name }) => name), 'late']) {
    const record = { tenant, status: 429, code: 'over-quota', offers: [], service: '' };
    metrics.requestFinished({ ...record, durationMs: 1 } as unknown as RequestRecord);
  }
  const text = await metrics.scrape({} as SidecarGauges, { sent: {}, received: {}, relayed: {} });
  const lines = text.split('\n').filter((line) => /tenant_requests_total\{/.test(line));
  expect(lines).toHaveLength(11);
  expect(lines).toContain('spindlepaddle_tenant_requests_total{tenant="t76",code="over-quota"} 1');
  expect(lines).toContain(
    'spindlepaddle_tenant_requests_total{tenant="other",code="over-quota"} 68',
  );
});

it('counts changes of roll-outs by kind and by the phase or state they led to', async () => {
  const metrics = new SidecarMetrics();
  metrics.rolloutChanged('decision', 'Ramp');
  metrics.rolloutChanged('status', 'completed');
  metrics.rolloutChanged('removed', '');
  const text = await metrics.scrape({} as SidecarGauges, { sent: {}, received: {}, relayed: {} });
  expect(text).toContain('spindlepaddle_rollout_changes_total{change="decision",to="Ramp"} 1');
  expect(text).toContain('spindlepaddle_rollout_changes_total{change="status",to="completed"} 1');
  expect(text).toContain('spindlepaddle_rollout_changes_total{change="removed",to=""} 1');
});
