/**
 * Schema and check of the configuration, one versioned object with routes, traffic splits, services
 * and limits. It is checked as a whole: a single finding rejects all of it.
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
  /** Requests of `safe` routes may run more than once; `unsafe` and `upload` ones may not. */
  kind: z.enum(['safe', 'unsafe', 'upload']),
  /** Milliseconds until the final answer. Undefined if the route sets no timeout. */
  timeoutMs: z.number().positive().optional(),
  /**
   * Milliseconds within which the final answer should come. Owners start no task that can no longer
   * meet it.
   */
  targetLatencyMs: z.number().positive().optional(),
  priority: z.number().int().min(0).max(MAX_PRIORITY).default(1),
  maxAttempts: z.number().int().min(1).max(MAX_ATTEMPTS).default(1),
  split: z.array(z.object({ service: z.string().min(1), weight: z.number().min(0) })).min(1),
  /** True if requests of this route need no API key. */
  isPublic: z.boolean().default(false),
  /** Names of the placement policies that must all allow an owner. */
  policies: z.array(z.string()).default([]),
  /** A secret that the back end receives in a header field. */
  credential: z.object({ header: z.string().min(1), secret: z.string().min(1) }).optional(),
});

const policySchema = z.object({
  name: z.string().min(1),
  /** CEL program that returns true if an owner may serve the request. */
  allow: z.string().min(1),
});

const secretSchema = z.object({
  name: z.string().min(1),
  /** SHA-256 of the value, in hexadecimal digits. Nodes use only a value with this digest. */
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

/** Schema of a configuration without its routes, which are checked one by one. */
const configurationSchema = z.object({
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
  /** If there are tenants, requests of routes that are not public need an API key. */
  readonly tenants: readonly MeshTenant[];
  readonly limits: MeshLimits;
}

/** Checks successive versions of the configuration. */
export type ConfigurationCheck = (candidate: unknown) => Either<Finding[], MeshConfiguration>;

/** Checks a single candidate. Every finding has its path in the candidate. */
export function checkMeshConfiguration(candidate: unknown): Either<Finding[], MeshConfiguration> {
  return createConfigurationCheck()(candidate);
}

/**
 * Creates a check that caches the routes of the last valid candidate. A new version usually changes
 * few routes, and the result for an unchanged route is the same object as before.
 */
export function createConfigurationCheck(): ConfigurationCheck {
  let knownRoutes = new Map<string, MeshRoute>();
  const routeTexts = createRouteTextCache();
  return (candidate) => {
    const parsed = configurationSchema.safeParse(candidate);
    if (!parsed.success) {
      return Left(findingsOf(parsed.error));
    }
    const checkedRoutes = new Map<string, MeshRoute>();
    const findings: Finding[] = [];
    const routes: MeshRoute[] = [];
    parsed.data.routes.forEach((route, index) => {
      const text = routeTexts.textOf(route);
      const unchanged = knownRoutes.get(text);
      const result = unchanged ? Right(unchanged) : checkRoute(route, index);
      result
        .ifRight((validRoute) => {
          checkedRoutes.set(text, validRoute);
          routes.push(validRoute);
        })
        .ifLeft((routeFindings) => findings.push(...routeFindings));
    });
    const configuration = { ...parsed.data, routes };
    findings.push(...tenantFindings(configuration.tenants));
    findings.push(...(findings.length > 0 ? [] : danglingReferences(configuration)));
    if (findings.length > 0) {
      return Left(findings);
    }
    knownRoutes = checkedRoutes;
    return Right(configuration);
  };
}

/** Caches the JSON text of each route object, as versions share the objects of unchanged routes. */
function createRouteTextCache(): { textOf(route: unknown): string } {
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

function findingsOf(error: z.ZodError, parentPath: readonly (string | number)[] = []): Finding[] {
  return error.issues.map((issue) => ({
    code: issue.code,
    path: [...parentPath, ...issue.path].join('.'),
    message: issue.message,
  }));
}

/** Findings for routes that refer to a service, policy or secret missing from the configuration. */
function danglingReferences(configuration: MeshConfiguration): Finding[] {
  const services = namesOf(configuration.services);
  const policies = namesOf(configuration.policies);
  const secrets = namesOf(configuration.secrets);
  return configuration.routes.flatMap((route, index) => {
    const missing = (existing: ReadonlySet<string>, kind: string, name: string, field: string) =>
      existing.has(name)
        ? []
        : [
            {
              code: 'dangling-reference',
              path: `routes.${index}.${field}`,
              message: `route ${route.name} refers to ${kind} ${name}, which does not exist`,
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
