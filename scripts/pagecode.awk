# Splits pages into what docs-check.sh judges, one item a line:
#   FILE:LINE <tab> KIND <tab> TEXT
# KIND is "block" (a command of a code block, continued lines joined), "inline"
# (a code span) or "link" (the address of a link).

function emit(line, kind, text) {
  gsub(/[ \t]+/, " ", text)
  sub(/^ /, "", text)
  sub(/ $/, "", text)
  if (text != "")
    printf "%s:%d\t%s\t%s\n", FILENAME, line, kind, text
}

# Code spans may go over the end of a line, so a paragraph's text is kept
# until it has an even number of backticks.
function addText(line, text,    parts, count, i, rest) {
  if (pending == "")
    pendingLine = line
  pending = pending == "" ? text : pending " " text
  count = split(pending, parts, "`")
  if (count % 2 == 0)
    return
  rest = ""
  for (i = 1; i <= count; ++i)
    if (i % 2 == 0)
      emit(pendingLine, "inline", parts[i])
    else
      rest = rest parts[i]
  addLinks(pendingLine, rest)
  pending = ""
}

function addLinks(line, text) {
  while (match(text, /\]\([^)]*\)/)) {
    emit(line, "link", substr(text, RSTART + 2, RLENGTH - 3))
    text = substr(text, RSTART + RLENGTH)
  }
  if (match(text, /^ *\[[^]]+\]: */))
    emit(line, "link", substr(text, RLENGTH + 1))
}

function addCode(line, text) {
  if (command == "")
    commandLine = line
  command = command text
  if (sub(/\\$/, " ", command))
    return
  emit(commandLine, "block", command)
  command = ""
}

function endParagraph() {
  if (pending != "")
    emit(pendingLine, "open", pending)
  pending = ""
}

FNR == 1 { endParagraph(); fenced = 0; indented = 0; blank = 1 }
/^ *```/ { endParagraph(); fenced = !fenced; next }
fenced { addCode(FNR, $0); next }
/^[ \t]*$/ { endParagraph(); blank = 1; next }
/^    / && (blank || indented) { indented = 1; blank = 0; addCode(FNR, $0); next }
{ indented = 0; blank = 0; addText(FNR, $0) }
END { endParagraph() }
