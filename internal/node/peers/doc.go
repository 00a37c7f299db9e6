// Package peers implements the membership of an entry: it serves the agents whose
// home is this entry, exchanges changed member rows with the other entries, and
// notifies the rest of the process of changes.
//
// A starting entry also requests the usual load of each caller from the other
// entries, until one has answered, so that a flood in progress is not mistaken
// for normal load.
//
// Membership works without the log service. The addresses of other entries come
// from the settings and from the replies of known entries.
package peers
