/**
 * Placement policies: short CEL programs that decide which endpoints may serve a request. A program
 * is compiled once per configuration version. An evaluation error counts as "not allowed".
 */
import { Environment, type ParseResult } from '@marcbachmann/cel-js';
import { type Either, Left, Right } from 'purify-ts';

/** The request as policies see it, after normalisation. */
export interface PolicyRequest {
  readonly method: string;
  readonly path: string;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Name of the request's tenant. Empty on public routes and if there are no tenants. */
  readonly tenant: string;
}

/** The matched route as policies see it. */
export interface PolicyRoute {
  readonly name: string;
  readonly service: string;
  /** `safe`, `unsafe` or `upload`. */
  readonly kind: string;
}

/** A machine as policies see it: the node that decides, or a candidate endpoint. */
export interface PolicyLocality {
  readonly zone: string;
  readonly region: string;
  readonly labels: Readonly<Record<string, string>>;
}

/** The input of one evaluation. */
export interface PolicyContext {
  readonly request: PolicyRequest;
  readonly route: PolicyRoute;
  readonly node: PolicyLocality;
  readonly endpoint: PolicyLocality;
}

/** A policy that passed its checks. */
export interface CompiledPolicy {
  readonly name: string;
  /** True if the endpoint may serve the request. */
  allows(context: PolicyContext): boolean;
}

/** The reason why a program is rejected. */
export interface PolicyError {
  readonly code: 'policy-syntax' | 'policy-type' | 'policy-cost';
  readonly message: string;
}

/** Limits on the structure of a program, which limit the cost of one evaluation. */
const MAX_AST_NODES = 200;
const MAX_DEPTH = 24;
const MAX_LIST_ELEMENTS = 100;

/** Calls of `matches`, which are forbidden: a regular expression can take exponential time. */
const FORBIDDEN_FUNCTIONS = /\.\s*matches\s*\(|\bmatches\s*\(/;

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
  if (FORBIDDEN_FUNCTIONS.test(withoutStrings(program))) {
    return Left({
      code: 'policy-cost',
      message: 'matches() is not allowed because its cost is unbounded',
    });
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
      message: `the program returns ${checked.type}, expected bool`,
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
  const isTooLarge = /limit|exceed/i.test(message);
  return { code: isTooLarge ? 'policy-cost' : 'policy-syntax', message };
}

function firstLine(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  return text.split('\n')[0] ?? text;
}

/** Empties string literals, so that a function name inside a literal is not treated as a call. */
function withoutStrings(program: string): string {
  return program.replace(/"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'/g, '""');
}
