/** Settings of a sidecar: a node beside one back end. */
import { type Either, Left, Right } from 'purify-ts';
import * as z from 'zod';
import type { Finding } from '../model/finding.js';

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;
const address = z.string().regex(ADDRESS, 'expected IP:PORT, such as 127.0.0.1:8080');

const settingsSchema = z.object({
  node: z.string().min(1),
  zone: z.string().min(1),
  /** Region and labels of this machine, for placement policies. */
  region: z.string().min(1).optional(),
  labels: z.record(z.string(), z.string()).optional(),
  /** Megabits a second that the machine's link carries: readers of a zone are those with most. */
  linkMbps: z.number().positive().optional(),
  /** Service of the back end on this machine. */
  service: z.string().min(1),
  backEndAddress: address,
  listen: z.object({
    clients: address,
    peers: address,
    readiness: address,
    registrations: address,
    /** Metrics, or none. */
    metrics: address.optional(),
  }),
  /** Longest time, in milliseconds, between an acknowledged drain and the last new work. */
  drainMs: z.number().positive().default(2_000),
  /** Longest time, in milliseconds, from a version's acknowledgement until it is in force. */
  configurationApplyMs: z.number().positive().default(2_000),
  /** Milliseconds from SIGTERM to SIGKILL. */
  graceMs: z.number().positive().default(6_000),
  retryBudget: z
    .object({
      ratio: z.number().min(0).default(0.2),
      windowMs: z.number().positive().default(10_000),
      slack: z.number().min(0).default(64),
    })
    .prefault({}),
  /** Longest time, in milliseconds, after trouble in which nodes need not know of one another. */
  contactMs: z.number().positive().default(3_000),
  /** What the store's trouble, short of an outage, may add to the bounds of changes, in milliseconds. */
  maxSkewMs: z.number().min(0).default(5_000),
  /** Bounds of tenants' quotas; without them no tenant is limited. */
  quota: z
    .object({
      /** Every span of this length counts, in milliseconds. */
      windowMs: z.number().positive(),
      /** Share by which the sum over all nodes may exceed a limit. */
      overage: z.number().min(0),
      /** Requests by which it may, besides. */
      slack: z.number().min(0),
    })
    .optional(),
  /** How keys that are taken away end. */
  revocation: z
    .object({
      /** True if a node that may not know of it must refuse rather than serve with a key that may be gone. */
      isStrict: z.boolean(),
      /** Milliseconds until a key that was taken away is refused. */
      withinMs: z.number().positive(),
    })
    .optional(),
  /** Bounds of roll-outs; without them no order is followed. */
  rollout: z
    .object({
      /** Largest share of a service's requests that a version may get before it has proved itself. */
      exposureShare: z.number().min(0).max(1),
      /** Requests that it may get besides. */
      exposureSlack: z.number().min(0),
      /** Milliseconds after its 50th bad answer within which a bad version must get nothing more. */
      rollbackMs: z.number().positive(),
    })
    .optional(),
});

export type SidecarSettings = z.infer<typeof settingsSchema>;

/** Checks settings; every finding carries its place. Unknown fields are ignored. */
export function checkSidecarSettings(candidate: unknown): Either<Finding[], SidecarSettings> {
  const result = settingsSchema.safeParse(candidate);
  return result.success
    ? Right(result.data)
    : Left(
        result.error.issues.map((issue) => ({
          code: issue.code,
          path: issue.path.join('.'),
          message: issue.message,
        })),
      );
}
