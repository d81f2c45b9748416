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
  /**
   * Capacity of the machine's link in megabits per second. The nodes with the fastest links become
   * the readers of their zone.
   */
  linkMbps: z.number().positive().optional(),
  /** Service of the back end on this machine. */
  service: z.string().min(1),
  backEndAddress: address,
  listen: z.object({
    clients: address,
    peers: address,
    readiness: address,
    registrations: address,
    /** Undefined if no metrics are served. */
    metrics: address.optional(),
  }),
  /** Milliseconds from the acknowledgement of a drain during which the back end may get tasks. */
  drainMs: z.number().positive().default(2_000),
  /**
   * Longest time, in milliseconds, from the acknowledgement of a configuration version until it is
   * in force.
   */
  configurationApplyMs: z.number().positive().default(2_000),
  /** Milliseconds from SIGTERM to SIGKILL. */
  graceMs: z.number().positive().default(6_000),
  /** True if no node of the mesh has run before. */
  isFirstStart: z.boolean().default(false),
  retryBudget: z
    .object({
      ratio: z.number().min(0).default(0.2),
      windowMs: z.number().positive().default(10_000),
      slack: z.number().min(0).default(64),
    })
    .prefault({}),
  /** Longest time, in milliseconds, for which nodes may be unaware of one another after a fault. */
  contactMs: z.number().positive().default(3_000),
  /**
   * Milliseconds that a store fault other than an outage may add to the time bounds of changes.
   * Checked, but not used by nodes.
   */
  maxSkewMs: z.number().min(0).default(5_000),
  /** Bounds of tenants' quotas. If undefined, no tenant is limited. */
  quota: z
    .object({
      /** A limit holds for every time span of this length, in milliseconds. */
      windowMs: z.number().positive(),
      /** Share of a limit by which the sum of requests over all nodes may exceed it. */
      overage: z.number().min(0),
      /** Number of requests by which the sum may exceed a limit in addition to `overage`. */
      slack: z.number().min(0),
    })
    .optional(),
  /** Bounds on the revocation of API keys. */
  revocation: z
    .object({
      /**
       * True if a node whose configuration may be too old to include a revocation must refuse
       * requests, instead of serving them with a key that may be revoked.
       */
      isStrict: z.boolean(),
      /** Milliseconds until requests with a revoked key are refused. */
      withinMs: z.number().positive(),
    })
    .optional(),
  /** Bounds of roll-outs. If undefined, orders for roll-outs are ignored. */
  rollout: z
    .object({
      /** Largest share of a service's requests that a version may get before it is found good. */
      exposureShare: z.number().min(0).max(1),
      /** Number of requests that a version may get in addition to `exposureShare`. */
      exposureSlack: z.number().min(0),
      /**
       * Longest time, in milliseconds, from the 50th bad answer of a bad version until it gets no
       * more requests.
       */
      rollbackMs: z.number().positive(),
    })
    .optional(),
});

export type SidecarSettings = z.infer<typeof settingsSchema>;

/** Validates settings. Each finding holds the path of its field. Unknown fields are ignored. */
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
