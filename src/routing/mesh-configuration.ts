/**
 * A configuration that is one whole, versioned object: routes with traffic
 * splits, services and limits. Checked whole; one finding holds off all of it.
 */
import { type Either, Left, Right } from 'purify-ts';
import * as z from 'zod';
import type { Finding } from '../model/finding.js';
import { MAX_PRIORITY, type MeshTenant, tenantFindings, tenantSchema } from '../tenants/tenant.js';

const MAX_ATTEMPTS = 16;

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
  /** True if clients need no tenant's key here. */
  isPublic: z.boolean().default(false),
  /** Names of the placement policies that must all allow an owner. */
  policies: z.array(z.string()).default([]),
  /** A secret that the back end gets in a header field. */
  credential: z.object({ header: z.string().min(1), secret: z.string().min(1) }).optional(),
});

const policySchema = z.object({
  name: z.string().min(1),
  /** CEL program: true for an owner that may serve. */
  allow: z.string().min(1),
});

const secretSchema = z.object({
  name: z.string().min(1),
  /** SHA-256 of the value, in hexadecimal digits: no node uses another value. */
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits'),
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

/** A configuration whose routes are checked one by one. */
const frameSchema = z.object({
  version: z.number().int().positive(),
  routes: z.array(z.unknown()),
  services: z.array(serviceSchema),
  policies: z.array(policySchema).default([]),
  secrets: z.array(secretSchema).default([]),
  tenants: z.array(tenantSchema).default([]),
  limits: limitsSchema.prefault({}),
});

export type MeshRoute = z.infer<typeof routeSchema>;
export type MeshService = z.infer<typeof serviceSchema>;
export type MeshPolicy = z.infer<typeof policySchema>;
export type MeshSecret = z.infer<typeof secretSchema>;
export type MeshLimits = z.infer<typeof limitsSchema>;

/** A configuration that has passed every check. */
export interface MeshConfiguration {
  readonly version: number;
  readonly routes: readonly MeshRoute[];
  readonly services: readonly MeshService[];
  readonly policies: readonly MeshPolicy[];
  readonly secrets: readonly MeshSecret[];
  /** With any, requests on routes that are not public need a key. */
  readonly tenants: readonly MeshTenant[];
  readonly limits: MeshLimits;
}

/** Checks candidates one after the other. */
export type ConfigurationCheck = (candidate: unknown) => Either<Finding[], MeshConfiguration>;

/** Checks one candidate; every finding carries its place. */
export function checkMeshConfiguration(candidate: unknown): Either<Finding[], MeshConfiguration> {
  return createConfigurationCheck()(candidate);
}

/**
 * A check that remembers the routes of the last good candidate: a version usually
 * changes few of them, and an unchanged one is the same object in the next.
 */
export function createConfigurationCheck(): ConfigurationCheck {
  let known = new Map<string, MeshRoute>();
  const memory = createRouteMemory();
  return (candidate) => {
    const frame = frameSchema.safeParse(candidate);
    if (!frame.success) {
      return Left(findingsOf(frame.error));
    }
    const checked = new Map<string, MeshRoute>();
    const findings: Finding[] = [];
    const routes: MeshRoute[] = [];
    frame.data.routes.forEach((route, index) => {
      const text = memory.textOf(route);
      const good = known.get(text);
      const result = good ? Right(good) : checkRoute(route, index);
      result
        .ifRight((right) => {
          checked.set(text, right);
          routes.push(right);
        })
        .ifLeft((bad) => findings.push(...bad));
    });
    const configuration = { ...frame.data, routes };
    findings.push(...tenantFindings(configuration.tenants));
    findings.push(...(findings.length > 0 ? [] : danglingReferences(configuration)));
    if (findings.length > 0) {
      return Left(findings);
    }
    known = checked;
    return Right(configuration);
  };
}

/** Renders a route as text, once for each object: versions share the routes that have not changed. */
function createRouteMemory(): { textOf(route: unknown): string } {
  const texts = new WeakMap<object, string>();
  return {
    textOf: (route) => {
      const key = typeof route === 'object' && route !== null ? route : {};
      const text = texts.get(key) ?? JSON.stringify(route) ?? '';
      texts.set(key, text);
      return text;
    },
  };
}

function checkRoute(route: unknown, index: number): Either<Finding[], MeshRoute> {
  const result = routeSchema.safeParse(route);
  return result.success ? Right(result.data) : Left(findingsOf(result.error, ['routes', index]));
}

function findingsOf(error: z.ZodError, place: readonly (string | number)[] = []): Finding[] {
  return error.issues.map((issue) => ({
    code: issue.code,
    path: [...place, ...issue.path].join('.'),
    message: issue.message,
  }));
}

/** No route may point at a service, a policy or a secret that the configuration lacks. */
function danglingReferences(configuration: MeshConfiguration): Finding[] {
  const services = namesOf(configuration.services);
  const policies = namesOf(configuration.policies);
  const secrets = namesOf(configuration.secrets);
  return configuration.routes.flatMap((route, index) => {
    const missing = (known: ReadonlySet<string>, kind: string, name: string, field: string) =>
      known.has(name)
        ? []
        : [
            {
              code: 'dangling-reference',
              path: `routes.${index}.${field}`,
              message: `route ${route.name} names ${kind} ${name}, which is not there`,
            },
          ];
    const { credential } = route;
    return [
      ...route.split.flatMap(({ service }) => missing(services, 'service', service, 'split')),
      ...route.policies.flatMap((name) => missing(policies, 'policy', name, 'policies')),
      ...(credential ? missing(secrets, 'secret', credential.secret, 'credential') : []),
    ];
  });
}

function namesOf(items: readonly { readonly name: string }[]): ReadonlySet<string> {
  return new Set(items.map(({ name }) => name));
}
