/**
 * Placement policies: short CEL programs that say which endpoints may serve a
 * request (brief, "The product"). A program is compiled once per configuration
 * version. An evaluation error counts as "not allowed".
 */
import { Environment, type ParseResult } from '@marcbachmann/cel-js';
import { type Either, Left, Right } from 'purify-ts';

/** What a policy sees of a request, after normalisation. */
export interface PolicyRequest {
  readonly method: string;
  readonly path: string;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Name of the tenant whose key it carries; empty for calls, public routes and without tenants. */
  readonly tenant: string;
}

/** What a policy sees of the matched route. */
export interface PolicyRoute {
  readonly name: string;
  readonly service: string;
  /** `safe`, `unsafe` or `upload`. */
  readonly kind: string;
}

/** What a policy sees of a machine: the deciding node, or a candidate endpoint. */
export interface PolicyLocality {
  readonly zone: string;
  readonly region: string;
  readonly labels: Readonly<Record<string, string>>;
}

/** Everything one evaluation reads. */
export interface PolicyContext {
  readonly request: PolicyRequest;
  readonly route: PolicyRoute;
  readonly node: PolicyLocality;
  readonly endpoint: PolicyLocality;
}

/** A policy that passed its checks. */
export interface CompiledPolicy {
  readonly name: string;
  /** True when the endpoint may serve the request. */
  allows(context: PolicyContext): boolean;
}

/** Why a program was refused. */
export interface PolicyError {
  readonly code: 'policy-syntax' | 'policy-type' | 'policy-cost';
  readonly message: string;
}

/** Structural limits: they bound what one evaluation can cost. */
const MAX_AST_NODES = 200;
const MAX_DEPTH = 24;
const MAX_LIST_ELEMENTS = 100;

/** Functions whose cost depends on their arguments; a pattern can take exponential time. */
const REFUSED_FUNCTIONS = /\.\s*matches\s*\(|\bmatches\s*\(/;

const localitySchema = { zone: 'string', region: 'string', labels: 'map<string, string>' };

const environment = new Environment({
  limits: { maxAstNodes: MAX_AST_NODES, maxDepth: MAX_DEPTH, maxListElements: MAX_LIST_ELEMENTS },
})
  .registerVariable({
    name: 'request',
    schema: { method: 'string', path: 'string', headers: 'map<string, string>', tenant: 'string' },
  })
  .registerVariable({
    name: 'route',
    schema: { name: 'string', service: 'string', kind: 'string' },
  })
  .registerVariable({ name: 'node', schema: localitySchema })
  .registerVariable({ name: 'endpoint', schema: localitySchema });

/** Checks syntax, type and cost of a program and prepares it for evaluation. */
export function compilePolicy(name: string, program: string): Either<PolicyError, CompiledPolicy> {
  if (REFUSED_FUNCTIONS.test(withoutStrings(program))) {
    return Left({ code: 'policy-cost', message: 'matches() is refused: its cost has no bound' });
  }
  let parsed: ParseResult;
  try {
    parsed = environment.parse(program);
  } catch (error) {
    return Left(parseFailure(error));
  }
  const checked = parsed.check();
  if (!checked.valid) {
    return Left({ code: 'policy-type', message: firstLine(checked.error) });
  }
  if (checked.type !== 'bool') {
    return Left({
      code: 'policy-type',
      message: `the program gives ${checked.type}, expected bool`,
    });
  }
  return Right({ name, allows: (context) => evaluate(parsed, context) });
}

function evaluate(parsed: ParseResult, context: PolicyContext): boolean {
  try {
    return parsed(context as unknown as Record<string, unknown>) === true;
  } catch {
    return false;
  }
}

function parseFailure(error: unknown): PolicyError {
  const message = firstLine(error);
  const tooLarge = /limit|exceed/i.test(message);
  return { code: tooLarge ? 'policy-cost' : 'policy-syntax', message };
}

function firstLine(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  return text.split('\n')[0] ?? text;
}

/** Blanks string literals, so that a literal that mentions a function is not taken for a call. */
function withoutStrings(program: string): string {
  return program.replace(/"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'/g, '""');
}
