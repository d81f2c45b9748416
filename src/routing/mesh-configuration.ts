/**
 * A configuration that is one whole, versioned object: routes with traffic
 * splits, services and limits. Checked whole; one finding holds off all of it.
 */
import { type Either, Left, Right } from 'purify-ts';
import { z } from 'zod';
import type { Finding } from '../model/finding.js';

const MAX_ATTEMPTS = 16;
const MAX_PRIORITY = 255;

const routeSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1),
  pathPrefix: z.string().startsWith('/'),
  /** `safe` may run more than once; `unsafe` and `upload` may not. */
  kind: z.enum(['safe', 'unsafe', 'upload']),
  /** Milliseconds until the final answer, or none. */
  timeoutMs: z.number().positive().optional(),
  /** Milliseconds within which an answer is worth most. */
  targetLatencyMs: z.number().positive().optional(),
  priority: z.number().int().min(0).max(MAX_PRIORITY).default(1),
  maxAttempts: z.number().int().min(1).max(MAX_ATTEMPTS).default(1),
  split: z.array(z.object({ service: z.string().min(1), weight: z.number().min(0) })).min(1),
});

const serviceSchema = z.object({
  name: z.string().min(1),
  healthPath: z.string().startsWith('/').default('/health'),
  maxConnections: z.number().int().positive().default(64),
});

const limitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive().default(16_384),
  maxBodyBytes: z.number().positive().default(67_108_864),
  headerTimeoutMs: z.number().positive().default(10_000),
  idleTimeoutMs: z.number().positive().default(60_000),
});

const configurationSchema = z.object({
  version: z.number().int().positive(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: limitsSchema.prefault({}),
});

export type MeshRoute = z.infer<typeof routeSchema>;
export type MeshService = z.infer<typeof serviceSchema>;
export type MeshLimits = z.infer<typeof limitsSchema>;
export type MeshConfiguration = z.infer<typeof configurationSchema>;

/** Checks a candidate; every finding carries its place. */
export function checkMeshConfiguration(candidate: unknown): Either<Finding[], MeshConfiguration> {
  const result = configurationSchema.safeParse(candidate);
  if (!result.success) {
    return Left(
      result.error.issues.map((issue) => ({
        code: issue.code,
        path: issue.path.join('.'),
        message: issue.message,
      })),
    );
  }
  const findings = danglingReferences(result.data);
  return findings.length > 0 ? Left(findings) : Right(result.data);
}

/** No route may point at a service that the configuration lacks. */
function danglingReferences(configuration: MeshConfiguration): Finding[] {
  const known = new Set(configuration.services.map((service) => service.name));
  return configuration.routes.flatMap((route, index) =>
    route.split
      .filter((part) => !known.has(part.service))
      .map((part) => ({
        code: 'dangling-reference',
        path: `routes.${index}.split`,
        message: `route ${route.name} names service ${part.service}, which is not there`,
      })),
  );
}
