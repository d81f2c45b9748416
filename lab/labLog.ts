/** What the lab says of its progress: short sentences behind one prefix, on standard error. */
import loglevel from 'loglevel';

export const labLog = loglevel.getLogger('lab');

labLog.methodFactory = () => (sentence: unknown) => {
  process.stderr.write(`[lab] ${String(sentence)}\n`);
};
labLog.setLevel('info');
